#pragma once

#include "gypsumhub/config/route_table.h"
#include "gypsumhub/decision/selection/request_cost.h"
#include "gypsumhub/decision/selection/target_state.h"
#include "gypsumhub/gateway/json_logger.h"

#include <boost/json/object.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace gypsumhub {

/// The choice of a target for a request.
struct placement_fields {
    const route& used;
    uint64_t routesVersion { 0 };
    const target_state& target;
    double probabilityBad { 0 };
    uint32_t attempt { 1 };
    time_point arrivedAt;
    size_t waiting { 0 };
    /// How long this node had sent the target nothing before; zero if it never had.
    duration idleTime;
    /// Where the cost of requests is learned, otherwise null.
    const request_cost* cost { nullptr };
};

/// The log lines of one request. Those of a request that succeeds are sampled by its id, those of a request that fails are all
/// written, at its end.
class request_log {
public:
    request_log(json_logger&, std::string_view requestId);

    /// Records that a target was chosen.
    auto recordPlacement(const placement_fields&) -> void;
    /// Records the end of the request.
    auto recordEnd(boost::json::object fields, bool isSuccess) -> void;

private:
    json_logger& m_log;
    std::string m_id;
    /// Whether the lines are written even when the request succeeds.
    bool m_isSampled;
    /// Placement lines of a request that is not sampled, kept in case it fails.
    std::vector<boost::json::object> m_deferredLines;
};

} // namespace gypsumhub
