#pragma once

#include "gypsumhub/core/result_code.h"
#include "gypsumhub/core/time_point.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace gypsumhub {

/// Requests of one service that wait for a slot, earliest deadline first. Refuses at once what would not be done in time,
/// so that an overload does not fill the slots with work whose callers have given up. One thread at a time.
class admission_queue {
public:
    /// Names one waiting request; chosen by the user of the queue, unique while it waits.
    using waiter_id = uint64_t;

    /// A queue for at most `limit` waiting requests.
    explicit admission_queue(uint32_t limit);

    /// Lets a request wait for one of `slots` slots. `Ok` when it waits; `QueueFull` when the queue is full or the request
    /// is expected to end after its deadline; `DeadlineBeforeSend` when the deadline has passed.
    auto admit(waiter_id, time_point deadline, time_point now, uint32_t slots) -> result_code;

    /// Takes the next request that can still end in time, because a slot became free. Requests that no longer can are taken
    /// out and added to `expired`; refuse them with `DeadlineBeforeSend`.
    auto next(time_point now, std::vector<waiter_id>& expired) -> std::optional<waiter_id>;

    /// Takes out every request that can no longer end in time and adds it to `expired`.
    auto expire(time_point now, std::vector<waiter_id>& expired) -> void;

    /// Takes out a request whose caller went away; false when it does not wait.
    auto remove(waiter_id) -> bool;

    /// Learns how long a request held its slot.
    auto recordHoldTime(duration) -> void;

    /// Whether a request with this deadline can be expected to end in time when it is sent now.
    auto canEndInTime(time_point deadline, time_point now) const -> bool;

    /// When the first waiting request must be taken out, or `never`.
    auto nextExpiry() const -> time_point;

    auto size() const -> size_t { return m_waiting.size(); }

    /// Changes the limit; requests that already wait stay.
    auto setLimit(uint32_t limit) -> void { m_limit = limit; }

private:
    using entry = std::pair<time_point, waiter_id>;

    uint32_t m_limit;
    // Smoothed time that a request holds a slot; an estimate, not a deadline.
    duration m_meanHold { milliseconds(20) };
    std::set<entry> m_waiting;
    std::map<waiter_id, time_point> m_deadlines;
};

} // namespace gypsumhub
