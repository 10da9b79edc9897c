#include "gypsumhub/decision/selection/demand_meter.h"

#include <algorithm>
#include <cmath>

namespace gypsumhub {

namespace {

    constexpr auto averagingTime = seconds(2);
    constexpr auto minRequestsPerSecond = 0.1;
    // Bounds the size of a hello.
    constexpr auto maxHosts = size_t { 8 };
    // Bounds memory: callers choose the host of a request.
    constexpr auto maxMeasuredHosts = size_t { 256 };
    // Processor time of one request, in core seconds.
    constexpr auto coresPerRequest = 0.001;
    // The rest is for a burst.
    constexpr auto maxUtilization = 0.5;
    constexpr auto bitsPerByte = 8.0;

    auto keptShare(time_point from, time_point now) -> double
    {
        return std::exp(-std::max((now - from).seconds(), 0.0) / averagingTime.seconds());
    }

} // namespace

auto demand_meter::sumsOf(std::string_view host, time_point now) -> sums&
{
    auto found = m_hosts.find(host);
    if (found == m_hosts.end()) {
        if (m_hosts.size() >= maxMeasuredHosts)
            m_hosts.clear();
        found = m_hosts.emplace(std::string(host), sums {}).first;
    }
    auto& measured = found->second;
    auto kept = keptShare(measured.updatedAt, now);
    measured.requests *= kept;
    measured.bytes *= kept;
    measured.updatedAt = now;
    return measured;
}

auto demand_meter::recordRequest(std::string_view host, time_point now) -> void
{
    sumsOf(host, now).requests += 1;
}

auto demand_meter::recordBytes(std::string_view host, size_t bytes, time_point now) -> void
{
    sumsOf(host, now).bytes += static_cast<double>(bytes);
}

auto demand_meter::demands(time_point now) const -> std::vector<host_demand>
{
    auto demands = std::vector<host_demand> {};
    for (auto& [host, measured] : m_hosts) {
        auto perSecond = keptShare(measured.updatedAt, now) / averagingTime.seconds();
        auto demand = host_demand { host, measured.requests * perSecond, measured.bytes * perSecond * bitsPerByte * 1e-6 };
        if (demand.requestsPerSecond >= minRequestsPerSecond)
            demands.push_back(std::move(demand));
    }
    std::ranges::sort(demands, std::ranges::greater {}, &host_demand::requestsPerSecond);
    demands.resize(std::min(demands.size(), maxHosts));
    return demands;
}

auto sizeFor(const host_demand& demand) -> node_size
{
    return { demand.requestsPerSecond * coresPerRequest / maxUtilization, demand.megabitsPerSecond / maxUtilization };
}

} // namespace gypsumhub
