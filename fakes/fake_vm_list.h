#pragma once

#include "gypsumhub/store/vm_list.h"

#include <map>
#include <string>
#include <vector>

namespace gypsumhub {

/// State of a VM in the list of the platform.
enum class listed_vm_state : uint8_t {
    Live,
    Leaving,
    Gone,
};

/// Fake of the platform's VM list. A change becomes visible after a configurable lag. Not thread-safe.
class fake_vm_list final : public vm_list {
public:
    /// Reads the time from `clock`, which must outlive the list.
    explicit fake_vm_list(const time_point& clock);

    auto fetch(time_point deadline) -> leaf::result<vm_list_content> override;

    /// The list that readers get at `now`.
    auto visibleAt(time_point now) const -> vm_list_content;
    /// Changes the state of a VM. The change becomes visible after the lag.
    auto change(const std::string& name, listed_vm_state) -> void;
    /// Sets the lag of subsequent changes.
    auto setLag(duration lag) -> void { m_lag = lag; }
    auto fetches() const -> uint64_t { return m_fetches; }

    /// The list is unreachable before this time.
    time_point outageUntil {};

private:
    /// A state change and the time when it becomes visible.
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
