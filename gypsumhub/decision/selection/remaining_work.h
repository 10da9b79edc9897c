#pragma once

#include "gypsumhub/decision/selection/cost_estimate.h"

#include <cstdint>
#include <vector>

namespace gypsumhub {

/// The work that the requests of this node still cost one target.
///
/// Answers the load of a target with few slots: whether a slot is free soon depends on which requests use the slots and for how long they
/// have run, which the number of requests does not tell.
class remaining_work {
public:
    /// Adds a request that is sent at `sentAt`. Returns the number by which it is removed.
    auto add(const cost_estimate&, time_point sentAt) -> uint64_t;
    auto remove(uint64_t number) -> void;
    auto count() const -> size_t { return m_running.size(); }
    /// The expected remaining work of all requests at a target of average speed.
    auto total(time_point now) const -> duration;
    /// That of the request which ends first; zero without requests.
    auto least(time_point now) const -> duration;

private:
    struct running_request {
        uint64_t number;
        cost_estimate work;
        time_point sentAt;
    };

    std::vector<running_request> m_running;
    uint64_t m_lastNumber { 0 };
};

} // namespace gypsumhub
