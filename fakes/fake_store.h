#pragma once

#include "fakes/fake_store_state.h"
#include "gypsumhub/store/store.h"

#include <functional>
#include <mutex>

namespace gypsumhub {

/// An in-process store in virtual time. Calls return at once and advance the clock by the time that they would have taken:
/// by the configured delay, or up to the deadline for a call during an outage and for a watch without an update. Thread-safe.
class fake_store final : public store {
public:
    /// Reads and advances `clock`, which must outlive the store.
    explicit fake_store(time_point& clock);

    auto get(std::string_view key, time_point deadline) -> leaf::result<std::optional<store_entry>> override;
    auto compareAndSwap(std::string_view key, uint64_t expectedRevision, std::string_view value, time_point deadline) -> leaf::result<uint64_t> override;
    auto remove(std::string_view key, time_point deadline) -> leaf::result<void> override;
    auto acquireLease(std::string_view name, std::string_view holder, time_point validUntil, time_point deadline)
        -> leaf::result<std::optional<time_point>> override;
    auto watch(std::string_view key, uint64_t afterRevision, time_point deadline) -> leaf::result<std::optional<store_entry>> override;

    /// Content, call counts and injected faults. For single-threaded use.
    auto state() -> fake_store_state& { return m_state; }

    /// Runs `action` once, right before the next write to a key that starts with `prefix`. A test uses it to insert a concurrent
    /// write between a read and a write.
    auto beforeNextWrite(std::string prefix, std::function<void()> action) -> void;

private:
    auto simulateCall(time_point deadline) -> leaf::result<void>;
    auto runBeforeWrite(std::string_view key) -> void;

    time_point& m_now;
    fake_store_state m_state;
    std::recursive_mutex m_mutex;
    std::string m_awaitedPrefix;
    std::function<void()> m_beforeWrite;
};

} // namespace gypsumhub
