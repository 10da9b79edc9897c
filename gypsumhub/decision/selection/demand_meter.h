#pragma once

#include "gypsumhub/config/node_size.h"
#include "gypsumhub/core/time_point.h"

#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace gypsumhub {

/// The load that the callers of one host put on a node.
struct host_demand {
    std::string host;
    double requestsPerSecond { 0 };
    double megabitsPerSecond { 0 };
};

/// Measures the load of this node by host, as moving averages over about two seconds.
///
/// Answers the load after many nodes were stopped or lost power, when the callers of a host meet nodes too small for them: the
/// directory then names as many nodes as the measured load needs.
class demand_meter {
public:
    auto recordRequest(std::string_view host, time_point now) -> void;
    /// Records bytes received from the callers of a host and sent to them.
    auto recordBytes(std::string_view host, size_t bytes, time_point now) -> void;
    /// The hosts with the most requests, without those that hardly have any.
    auto demands(time_point now) const -> std::vector<host_demand>;

private:
    /// Exponentially decaying sums.
    struct sums {
        double requests { 0 };
        double bytes { 0 };
        time_point updatedAt {};
    };

    auto sumsOf(std::string_view host, time_point now) -> sums&;

    std::map<std::string, sums, std::less<>> m_hosts;
};

/// The size of the nodes that serve this load with room for a burst.
auto sizeFor(const host_demand&) -> node_size;

} // namespace gypsumhub
