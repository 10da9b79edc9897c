#include "gypsumhub/decision/selection/allowance_leases.h"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace gypsumhub {

namespace {

    // At this rate of a customer, half of the difference between the demands of two data centres counts.
    constexpr auto uncertainRequestsPerSecond = 4.0;
    // Askers that have sent no request for this long need nothing.
    constexpr auto demandTime = seconds(2);
    // Weight of a data centre without demand in the division of what nobody needs. Kept for its first requests.
    constexpr auto idleWeight = 0.25;
    // Kept for data centres without demand, so that their first requests need not wait for a renewal of the others.
    constexpr auto idleShare = 0.03;
    constexpr auto maxIdleShare = 0.06;
    // Datagrams hold fractions in single precision.
    constexpr auto precision = 1e-6;

} // namespace

auto allowance_leases::tick(time_point now, const std::function<bool(uint32_t)>& isDistributor) -> void
{
    if (now > m_tickedAt + suspensionTime)
        m_roles.fill({});
    m_tickedAt = now;
    for (auto bucket = uint32_t { 0 }; bucket < allowance_choice::bucketCount; ++bucket) {
        auto& served = m_roles.at(bucket);
        if (!isDistributor(bucket))
            served = {};
        else if (!served.since)
            served.since = now;
    }
    for (auto& [customer, state] : m_customers)
        std::erase_if(state.askers, [&](auto& asker) { return now > asker.second.askedAt + leaseTime && heldFraction(asker.second, now) == 0; });
    std::erase_if(m_customers, [&](auto& entry) { return entry.second.askers.empty() || !serves(allowance_choice::bucketOf(entry.first)); });
}

auto allowance_leases::heldFraction(const holding& asker, time_point now) -> double
{
    return std::max(now < asker.statedUntil ? asker.statedFraction : 0, now < asker.grantedUntil ? asker.grantedFraction : 0);
}

auto allowance_leases::heldBeside(const holdings& askers, std::string_view asker, std::string_view dataCentre, time_point now) -> double
{
    auto held = 0.0;
    for (auto& [name, other] : askers)
        held += name != asker && other.dataCentre == dataCentre ? heldFraction(other, now) : 0;
    return held;
}

auto allowance_leases::leasedFraction(std::string_view customer, time_point now) const -> double
{
    auto found = m_customers.find(customer);
    auto sum = 0.0;
    if (found != m_customers.end()) {
        for (auto& [name, asker] : found->second.askers)
            sum += heldFraction(asker, now);
    }
    return sum;
}

auto allowance_leases::demandOf(const holdings& askers, size_t dataCentres, time_point now) -> demand_sum
{
    auto demand = demand_sum {};
    for (auto& [name, entry] : askers) {
        if (now <= entry.askedAt + demandTime && entry.requestsPerSecond > 0) {
            demand.requestsPerSecond += entry.requestsPerSecond;
            ++demand.active;
        }
    }
    demand.idle = static_cast<double>(dataCentres - std::min(dataCentres, demand.active));
    return demand;
}

auto allowance_leases::keptFraction(const demand_sum& demand) -> double
{
    return std::min(demand.idle * idleShare, maxIdleShare);
}

auto allowance_leases::fairFraction(const demand_sum& demand, const holding& asker, double limit) -> double
{
    // The fewer requests an estimate rests on, the more of the difference between the askers is chance.
    auto certainty = demand.requestsPerSecond / (demand.requestsPerSecond + uncertainRequestsPerSecond);
    auto active = static_cast<double>(std::max<size_t>(demand.active, 1));
    auto need = (certainty * asker.requestsPerSecond + (1 - certainty) * demand.requestsPerSecond / active) / limit;
    auto needed = demand.requestsPerSecond / limit;
    auto available = 1 - keptFraction(demand);
    if (needed >= available)
        return need / needed * available;
    return need + (1 - needed) / (active + demand.idle * idleWeight);
}

auto allowance_leases::isInHandover(const role& served, time_point now) const -> bool
{
    auto isComplete = !served.expected.empty() && std::ranges::includes(served.stated, served.expected);
    return now < *served.since + handoverTime && !isComplete;
}

auto allowance_leases::unstatedCount(uint32_t bucket) const -> size_t
{
    auto& served = m_roles.at(bucket);
    return static_cast<size_t>(std::ranges::count_if(served.expected, [&](auto& name) { return !served.stated.contains(name); }));
}

auto allowance_leases::takeProbe(uint32_t bucket, std::span<const std::string> holders, time_point now) -> std::optional<probe>
{
    if (!serves(bucket))
        return std::nullopt;
    auto& served = m_roles.at(bucket);
    served.expected = { holders.begin(), holders.end() };
    if (now < served.probeAgainAt || !isInHandover(served, now))
        return std::nullopt;
    served.probeAgainAt = now + probeInterval;
    auto asked = probe { static_cast<uint64_t>(served.since->ns) | 1, {} };
    std::ranges::set_difference(served.expected, served.stated, std::back_inserter(asked.receivers));
    return asked;
}

auto allowance_leases::recordStatement(const lease_request& statement, time_point now) -> void
{
    if (!serves(statement.bucket))
        return;
    auto& served = m_roles.at(statement.bucket);
    if (statement.probe != (static_cast<uint64_t>(served.since->ns) | 1))
        return;
    served.stated.erase(statement.asker);
    if (statement.isBlocking)
        return;
    for (auto& demand : statement.demands) {
        if (allowance_choice::bucketOf(demand.customer) != statement.bucket || !(demand.heldFraction >= 0))
            continue;
        auto& asker = m_customers[demand.customer].askers[statement.asker];
        if (statement.ticket > asker.ticket)
            asker = { statement.dataCentre, statement.ticket, std::min(demand.heldFraction, 1.0), std::min(demand.heldUntil, now + leaseTime), 0, {}, 0, now };
    }
    served.stated.insert(statement.asker);
}

auto allowance_leases::handoverFraction(customer_state& state, double held, double wanted, const allowance_limit& limit) -> double
{
    // A former holder may issue the burst of the same fraction.
    auto perFraction = limit.requestsPerSecond * handoverTime.seconds() + limit.burst;
    // The bucket of a new asker starts with one token.
    auto used = state.handoverCount + (held > 0 ? 0 : 1);
    // Half of what is left, so that later askers receive something too.
    auto added = std::min(wanted - held, (limit.handoverCount - used) / 2 / perFraction);
    if (added <= 0)
        return held;
    state.handoverCount = used + added * perFraction;
    return held + added;
}

auto allowance_leases::grantOne(const lease_request& request, const lease_demand& demand, size_t dataCentres, const allowance_limit& limit, time_point now) -> std::optional<customer_lease>
{
    auto& state = m_customers[demand.customer];
    auto& askers = state.askers;
    if (!askers.contains(request.asker) && askers.size() >= maxAskers)
        return std::nullopt;
    auto& asker = askers[request.asker];
    if (request.ticket <= asker.ticket)
        return std::nullopt;
    auto heldBySubstitutes = heldBeside(askers, request.asker, request.dataCentre, now);
    auto isFirst = demand.heldFraction <= 0 && heldFraction(asker, now) == 0 && heldBySubstitutes == 0;
    // The asker has not taken any grant for an earlier request that is not in this statement, and will take none.
    asker = { request.dataCentre, request.ticket, std::clamp(demand.heldFraction, 0.0, 1.0), std::min(demand.heldUntil, now + leaseTime), 0, {},
        std::max(demand.requestsPerSecond, 0.0), now };
    auto free = 1 - precision;
    for (auto& [name, other] : askers)
        free -= name == request.asker ? 0 : heldFraction(other, now);
    auto demandOfAll = demandOf(askers, dataCentres, now);
    free -= keptFraction(demandOfAll);
    // Without demand, the asker gives up its lease.
    auto wanted = asker.requestsPerSecond > 0 ? fairFraction(demandOfAll, asker, limit.requestsPerSecond) : 0;
    auto isInitial = isFirst && wanted > 0;
    // The demand of a data centre that asks for the first time is not known yet, and the others ask in the same moment at a start.
    if (isInitial)
        wanted = std::min(wanted, 1 / static_cast<double>(std::max<size_t>(dataCentres, 1)));
    if (isInHandover(m_roles.at(request.bucket), now)) {
        wanted = handoverFraction(state, heldFraction(asker, now), std::min(wanted, free), limit);
        isInitial = false;
    }
    asker.grantedFraction = std::clamp(std::min(wanted, free), 0.0, 1.0);
    asker.grantedUntil = now + leaseTime;
    return customer_lease { demand.customer, asker.grantedFraction, leaseTime, isInitial };
}

auto allowance_leases::grant(const lease_request& request, size_t dataCentres, const std::function<allowance_limit(std::string_view)>& limitOf, time_point now) -> std::optional<lease_grant>
{
    if (!serves(request.bucket) || now > m_tickedAt + suspensionTime)
        return std::nullopt;
    auto granted = lease_grant { request.ticket, request.bucket, {} };
    for (auto& demand : request.demands) {
        auto limit = limitOf(demand.customer);
        if (limit.requestsPerSecond <= 0 || allowance_choice::bucketOf(demand.customer) != request.bucket || !std::isfinite(demand.requestsPerSecond) || !std::isfinite(demand.heldFraction))
            continue;
        if (auto lease = grantOne(request, demand, dataCentres, limit, now))
            granted.leases.push_back(std::move(*lease));
    }
    return granted.leases.empty() ? std::nullopt : std::optional(std::move(granted));
}

} // namespace gypsumhub
