#pragma once

#include "gypsumhub/core/asio_types.h"
#include "gypsumhub/decision/selection/arrival_queue.h"
#include "gypsumhub/decision/selection/repeat_allowance.h"
#include "gypsumhub/decision/selection/target_board.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace gypsumhub {

/// How a request left the wait for a target.
enum class placement_end : uint8_t {
    Placed,
    /// It would have had to wait longer than its time allows.
    NoRoom,
    /// No target of the service could take it now or soon.
    NoTarget,
    CallerLeft,
};

/// A request that asks for a target.
struct placement_request {
    uint32_t priority { 0 };
    bool isRetryable { false };
    std::vector<std::string> tried;
    time_point arrivedAt;
    /// When waiting for a free target ends.
    time_point giveUpAt;
    /// When a free target is taken although a better one is busy.
    time_point takeRiskAt;
};

/// The result: on `Placed` one of the target's slots is taken.
struct placement {
    placement_end end { placement_end::NoRoom };
    std::shared_ptr<target_state> target;
    double probabilityBad { 0 };
    duration predictedWait;
};

/// Handle by which a waiting request is called off.
struct placement_wait;

/// The requests of one service on this node: who waits, who is at a target, and what may be repeated.
class service_lane {
public:
    service_lane(asio::io_context&, std::string service, target_board&, repeat_allowance::settings);

    /// Waits for a target. While it waits, `wait` names it for `callOff`.
    auto place(placement_request, std::shared_ptr<placement_wait>& wait) -> task<placement>;
    auto callOff(placement_wait&) -> void;
    /// Gives a slot back and hands it to the first that waits.
    auto release(target_state&) -> void;
    /// Serves those that wait as far as targets are free; ends those whose time has come. Called on every change and tick.
    auto pump() -> void;

    auto allowance() -> repeat_allowance& { return m_allowance; }
    auto inFlight() const -> uint32_t { return m_inFlight; }
    auto waiting() const -> size_t { return m_queue.size(); }
    auto service() const -> const std::string& { return m_service; }

private:
    auto tryPlace(const placement_request&, time_point now) -> std::optional<placement>;
    auto finish(uint64_t ticket, placement) -> void;

    asio::io_context& m_context;
    std::string m_service;
    target_board& m_board;
    repeat_allowance m_allowance;
    arrival_queue m_queue;
    std::map<uint64_t, std::shared_ptr<placement_wait>> m_waits;
    uint64_t m_lastTicket { 0 };
    uint32_t m_inFlight { 0 };
};

} // namespace gypsumhub
