#pragma once

#include "gypsumhub/core/time_point.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace gypsumhub {

/// A request that waits for a free target of its service.
struct waiting_request {
    uint64_t ticket { 0 };
    /// 0 is the most urgent.
    uint32_t priority { 0 };
    time_point arrivedAt;
    /// When waiting longer is of no use: the answer would come after the caller's deadline.
    time_point expiresAt;
};

/// What the node knows of a service's room when a request arrives.
struct service_capacity {
    /// Requests of this node that are at targets of the service.
    uint32_t inFlight { 0 };
    /// Targets that could take requests, free or busy.
    uint32_t usable { 0 };
    duration meanResponseTime;
};

/// Whether a request may wait, and if not, when it is worth coming back.
struct placement_estimate {
    bool isAdmitted { false };
    duration predictedWait;
};

/// The requests of one service that wait, the most urgent first, and among equals the one whose time ends first.
/// A request that cannot be served in its time is refused when it arrives: work that ends late helps nobody and
/// takes the place of work that would not.
class placement_queue {
public:
    /// Judges an arrival. Load pattern: more arrives than the targets finish, for seconds.
    auto evaluate(const waiting_request&, const service_capacity&) const -> placement_estimate;
    auto add(const waiting_request&) -> void;
    auto remove(uint64_t ticket) -> void;
    /// The request to be served next.
    auto first() const -> std::optional<waiting_request>;
    /// Takes out the requests whose time to wait has ended.
    auto removeExpired(time_point now) -> std::vector<waiting_request>;
    auto size() const -> size_t { return m_waiting.size(); }
    auto isEmpty() const -> bool { return m_waiting.empty(); }

private:
    /// In the order of service.
    std::vector<waiting_request> m_waiting;
};

} // namespace gypsumhub
