#include "gypsumhub/decision/selection/held_permits.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace gypsumhub {

namespace {

    // Limits what a node sends for one target. A request then asks for all permits that are wanted until the next one.
    constexpr auto minAskInterval = milliseconds(40);
    // Several times the round trip to another region.
    constexpr auto answerTimeout = milliseconds(150);
    // The next request goes to another node.
    constexpr auto unansweredBackoff = milliseconds(50);
    // Longer than any denial.
    constexpr auto retention = seconds(30);

    constexpr auto rateDecayTime = milliseconds(2000);

    auto decay(duration elapsed) -> double
    {
        return std::exp(-elapsed.seconds() / rateDecayTime.seconds());
    }

} // namespace

held_permits::held_permits(uint64_t firstTicket)
    : m_nextTicket(std::max<uint64_t>(firstTicket, 1))
{
}

auto held_permits::has(std::string_view target, time_point now) const -> bool
{
    auto found = m_holdings.find(target);
    return found != m_holdings.end() && std::ranges::any_of(found->second.batches, [&](auto& batch) { return now < batch.validUntil; });
}

auto held_permits::consume(std::string_view target, time_point now) -> time_point
{
    auto found = m_holdings.find(target);
    if (found == m_holdings.end())
        return now;
    auto& batches = found->second.batches;
    std::erase_if(batches, [&](auto& batch) { return now >= batch.validUntil; });
    if (batches.empty())
        return now;
    auto until = batches.front().validUntil;
    if (--batches.front().count == 0)
        batches.pop_front();
    return until;
}

auto held_permits::deniedUntil(std::string_view target) const -> time_point
{
    auto found = m_holdings.find(target);
    return found == m_holdings.end() ? time_point {} : found->second.deniedUntil;
}

auto held_permits::expectedRate(const target_limit& limit, time_point now) const -> double
{
    auto rate = limit.requestsPerSecond.value_or(0);
    auto found = m_holdings.find(limit.target);
    if (found == m_holdings.end() || now >= found->second.deniedUntil + rateDecayTime)
        return rate;
    auto& held = found->second;
    return std::min(rate, held.granted * decay(now - held.grantedAt) / rateDecayTime.seconds());
}

auto held_permits::recordDemand(std::string_view target, size_t waiting) -> void
{
    auto found = m_holdings.find(target);
    if (found == m_holdings.end())
        found = m_holdings.emplace(std::string(target), holding {}).first;
    auto& demanded = found->second.demanded;
    demanded = static_cast<uint32_t>(std::min<size_t>(std::max<size_t>(demanded + 1, waiting), maxCount));
}

auto held_permits::takeDemands(time_point now) -> std::vector<demand>
{
    auto demands = std::vector<demand> {};
    for (auto& [target, held] : m_holdings) {
        auto isDue = held.demanded > 0 && held.ticket == 0 && now >= held.deniedUntil
            && (held.askedAt == time_point {} || now >= held.askedAt + minAskInterval);
        if (!isDue)
            continue;
        held.ticket = m_nextTicket++;
        held.askedFor = std::exchange(held.demanded, 0);
        held.askedAt = now;
        demands.push_back({ target, held.ticket, held.askedFor, held.unanswered });
    }
    return demands;
}

auto held_permits::recordGrant(const permit_grant& grant, time_point now) -> bool
{
    auto found = m_holdings.find(grant.limit.target);
    if (found == m_holdings.end() || found->second.ticket != grant.ticket)
        return false;
    auto& held = found->second;
    held.ticket = 0;
    held.unanswered = 0;
    // Begins with the limit as the estimate.
    auto known = held.grantedAt == time_point {} ? grant.limit.requestsPerSecond.value_or(0) * rateDecayTime.seconds() : held.granted * decay(now - held.grantedAt);
    held.granted = known + std::min(grant.count, held.askedFor);
    held.grantedAt = now;
    if (grant.count > 0)
        held.batches.push_back({ std::min(grant.count, held.askedFor), held.askedAt + lifetime });
    if (grant.count < held.askedFor) {
        held.deniedUntil = now + grant.retryAfter;
        held.demanded = 0;
    }
    return true;
}

auto held_permits::forget(std::string_view target) -> void
{
    auto found = m_holdings.find(target);
    if (found != m_holdings.end())
        m_holdings.erase(found);
}

auto held_permits::expire(time_point now) -> void
{
    for (auto& [target, held] : m_holdings) {
        if (held.ticket == 0 || now < held.askedAt + answerTimeout)
            continue;
        held.ticket = 0;
        ++held.unanswered;
        held.deniedUntil = now + unansweredBackoff;
        held.demanded = 0;
    }
    std::erase_if(m_holdings, [&](auto& entry) { return entry.second.demanded == 0 && now > std::max(entry.second.askedAt, entry.second.deniedUntil) + retention; });
}

} // namespace gypsumhub
