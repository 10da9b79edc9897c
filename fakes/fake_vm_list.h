#pragma once

#include "gypsumhub/store/vm_list.h"

#include <map>
#include <string>
#include <vector>

namespace gypsumhub {

/// State of a VM in the platform's list.
enum class listed_vm_state : uint8_t {
    Live,
    Leaving,
    Gone,
};

/// The platform's list of VMs with a lag: a change is seen only after the lag has passed. Not thread-safe.
class fake_vm_list final : public vm_list {
public:
    /// `clock` must outlive the list.
    explicit fake_vm_list(const time_point& clock);

    auto fetch(time_point deadline) -> leaf::result<vm_list_content> override;

    /// The list as readers see it at `now`.
    auto visibleAt(time_point now) const -> vm_list_content;
    /// Changes a VM; readers see it once the lag has passed.
    auto change(const std::string& name, listed_vm_state) -> void;
    /// Sets the lag of changes to come.
    auto setLag(duration lag) -> void { m_lag = lag; }
    auto fetches() const -> uint64_t { return m_fetches; }

    /// Until this instant the list cannot be reached.
    time_point outageUntil {};

private:
    struct listed_change {
        time_point visibleFrom;
        std::string name;
        listed_vm_state state;
    };

    const time_point& m_now;
    duration m_lag {};
    uint64_t m_fetches { 0 };
    std::vector<listed_change> m_changes;
};

} // namespace gypsumhub
