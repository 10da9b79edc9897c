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

/// Queue of requests of one service that wait for a slot, earliest deadline first. Performs admission control: requests that
/// cannot finish before their deadline are refused at once, so that an overload does not fill the slots with requests whose
/// callers have given up. Not thread-safe.
class admission_queue {
public:
    /// Identifies one waiting request; chosen by the user of the queue, unique while it waits.
    using waiter_id = uint64_t;

    /// A queue for at most `limit` waiting requests.
    explicit admission_queue(uint32_t limit);

    /// Adds a request that waits for one of `slots` slots. Returns `Ok` when it was added; `QueueFull` when the queue is full or
    /// the request is expected to end after its deadline; `DeadlineBeforeSend` when the deadline has passed.
    auto admit(waiter_id, time_point deadline, time_point now, uint32_t slots) -> result_code;

    /// Removes and returns the next request that can finish in time; to be called when a slot is free. Requests that can no longer
    /// finish in time are removed and added to `expired`; refuse them with `DeadlineBeforeSend`.
    auto next(time_point now, std::vector<waiter_id>& expired) -> std::optional<waiter_id>;

    /// Removes every request that can no longer finish in time and adds it to `expired`.
    auto expire(time_point now, std::vector<waiter_id>& expired) -> void;

    /// Removes a request whose caller closed its connection. Returns false when it does not wait.
    auto remove(waiter_id) -> bool;

    /// Updates the mean with the time that a request held its slot.
    auto recordHoldTime(duration) -> void;

    /// Whether a request with this deadline is expected to finish in time when it is sent at `now`.
    auto canFinishInTime(time_point deadline, time_point now) const -> bool;

    /// When the first waiting request must be removed, or `never`.
    auto nextExpiry() const -> time_point;

    auto size() const -> size_t { return m_waiting.size(); }

    /// Changes the limit; requests that already wait are not removed.
    auto setLimit(uint32_t limit) -> void { m_limit = limit; }

private:
    using entry = std::pair<time_point, waiter_id>;

    uint32_t m_limit;
    // Moving average of the time that a request holds a slot.
    duration m_meanHoldTime { milliseconds(20) };
    std::set<entry> m_waiting;
    std::map<waiter_id, time_point> m_deadlines;
};

} // namespace gypsumhub
