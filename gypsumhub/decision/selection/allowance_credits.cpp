#include "gypsumhub/decision/selection/allowance_credits.h"

#include "gypsumhub/decision/selection/allowance_choice.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace gypsumhub {

namespace {

    // Arrivals within this time are asked for in advance.
    constexpr auto lookAheadSeconds = 0.25;
    constexpr auto arrivalDecaySeconds = 1.0;
    constexpr auto forgetTime = seconds(10);
    // An unanswered request says nothing about the candidates later.
    constexpr auto forgetRequestTime = seconds(1);

} // namespace

allowance_credits::allowance_credits(uint64_t firstTicket)
    : m_nextTicket(std::max<uint64_t>(firstTicket, 1))
{
}

auto allowance_credits::recordArrival(std::string_view customer, time_point now) -> void
{
    auto found = m_holdings.find(customer);
    if (found == m_holdings.end())
        found = m_holdings.emplace(customer, holding {}).first;
    auto& held = found->second;
    held.recentArrivals = held.recentArrivals * std::exp(-(now - held.arrivedAt).seconds() / arrivalDecaySeconds) + 1;
    held.arrivedAt = now;
    ++held.arrivals;
}

auto allowance_credits::take(std::string_view customer, time_point now) -> result
{
    auto found = m_holdings.find(customer);
    if (found == m_holdings.end())
        return {};
    auto& held = found->second;
    std::erase_if(held.batches, [&](auto& entry) { return entry.count == 0 || now >= entry.until; });
    if (!held.batches.empty()) {
        auto first = std::ranges::min_element(held.batches, {}, &batch::until);
        --first->count;
        return { answer::Granted, first->until };
    }
    if (now < held.deniedUntil)
        return { answer::OverLimit, held.deniedUntil };
    return {};
}

auto allowance_credits::giveBack(std::string_view customer, time_point until, time_point now) -> void
{
    auto found = m_holdings.find(customer);
    if (found != m_holdings.end() && now < until)
        found->second.batches.push_back({ 1, until });
}

auto allowance_credits::setWaiting(std::string_view customer, size_t count) -> void
{
    auto found = m_holdings.find(customer);
    if (found != m_holdings.end())
        found->second.waiting = count;
}

auto allowance_credits::expectedArrivals(const holding& held, time_point now) -> uint32_t
{
    auto rate = held.recentArrivals * std::exp(-(now - held.arrivedAt).seconds() / arrivalDecaySeconds) / arrivalDecaySeconds;
    auto expected = rate * lookAheadSeconds;
    // One standard deviation less: credits that are not used in time are lost to the customer.
    return static_cast<uint32_t>(std::clamp(expected - std::sqrt(expected), 0.0, static_cast<double>(maxCount)));
}

auto allowance_credits::takeDemands(time_point now) -> std::vector<demand>
{
    auto due = std::vector<demand> {};
    for (auto& [customer, held] : m_holdings) {
        if (held.waiting > 0 && now >= held.askAgainAt && now >= held.deniedUntil)
            addDemand(due, customer, held, now);
    }
    return due;
}

auto allowance_credits::addDemand(std::vector<demand>& due, const std::string& customer, holding& held, time_point now) -> void
{
    if (now >= held.askedAt + forgetRequestTime) {
        held.ticket = 0;
        held.unanswered = 0;
    }
    held.unanswered += held.ticket != 0 ? 1 : 0;
    // The grant may have been lost on its way. The distributor repeats it, whereas a new request would cost the customer more credits.
    auto isRepeated = held.ticket != 0 && held.unanswered % attemptsPerCandidate != 0;
    auto bucket = allowance_choice::bucketOf(customer);
    auto candidate = held.unanswered / attemptsPerCandidate;
    auto fits = [&](auto& entry) {
        auto isSame = isRepeated ? entry.request.ticket == held.ticket : !entry.isRepeated && entry.bucket == bucket && entry.candidate == candidate;
        return isSame && entry.request.demands.size() < maxAllowanceEntries;
    };
    auto found = std::ranges::find_if(due, fits);
    if (found == due.end())
        found = due.insert(due.end(), demand { bucket, candidate, isRepeated, { isRepeated ? held.ticket : m_nextTicket++, {} } });
    held.askAgainAt = now + answerTimeout;
    if (!isRepeated) {
        held.ticket = found->request.ticket;
        held.askedAt = now;
        held.askedFor = static_cast<uint32_t>(std::min<size_t>(held.waiting, maxCount));
        held.askedAhead = expectedArrivals(held, now);
        held.statedArrivals = std::exchange(held.arrivals, 0);
    }
    found->request.demands.push_back({ customer, held.askedFor, held.askedAhead, held.statedArrivals });
}

auto allowance_credits::recordGrant(const credit_grant& grant, time_point now) -> std::vector<std::string>
{
    auto changed = std::vector<std::string> {};
    for (auto& credits : grant.credits) {
        auto found = m_holdings.find(credits.customer);
        if (found == m_holdings.end() || found->second.ticket != grant.ticket)
            continue;
        auto& held = found->second;
        held.ticket = 0;
        held.askAgainAt = now;
        auto count = std::min(credits.count, held.askedFor + held.askedAhead);
        if (count > 0 && now < held.askedAt + creditLifetime)
            held.batches.push_back({ count, held.askedAt + creditLifetime });
        if (credits.isPending && count == 0)
            held.askAgainAt = now + pendingPause;
        else
            held.unanswered = 0;
        if (!credits.isPending && count < held.askedFor)
            held.deniedUntil = now + credits.retryAfter;
        changed.push_back(credits.customer);
    }
    return changed;
}

auto allowance_credits::prune(time_point now) -> void
{
    std::erase_if(m_holdings, [&](auto& entry) { return entry.second.waiting == 0 && now > entry.second.arrivedAt + forgetTime; });
}

} // namespace gypsumhub
