#pragma once

namespace gypsumhub {

/// Marks a read-side critical section of the process-wide RCU domain (liburcu). Registers the calling thread on first use.
/// Must not be held across a suspension point.
class rcu_read_guard {
public:
    rcu_read_guard();
    ~rcu_read_guard();
    rcu_read_guard(const rcu_read_guard&) = delete;
    auto operator=(const rcu_read_guard&) -> rcu_read_guard& = delete;
};

/// Waits until every read-side critical section that was open at the call has ended.
auto rcuSynchronize() -> void;

} // namespace gypsumhub
