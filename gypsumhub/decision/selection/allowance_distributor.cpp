#include "gypsumhub/decision/selection/allowance_distributor.h"

#include "gypsumhub/decision/selection/allowance_choice.h"

#include <algorithm>
#include <cmath>

namespace gypsumhub {

namespace {

    // Longer than the window of any limit, since a new bucket starts with a token.
    constexpr auto forgetTime = seconds(30);

    auto toDuration(double seconds) -> duration
    {
        return { static_cast<int64_t>(seconds * 1e9) };
    }

} // namespace

allowance_distributor::allowance_distributor(uint64_t firstTicket)
    : m_nextTicket(std::max<uint64_t>(firstTicket, 1))
{
}

auto allowance_distributor::fill(bucket& used, time_point now) -> void
{
    auto filledUntil = std::min(now, used.leasedUntil);
    if (filledUntil > used.filledAt)
        used.tokens += used.fraction * used.limit.requestsPerSecond * (filledUntil - used.filledAt).seconds();
    used.filledAt = now;
    used.tokens = isLeased(used, now) ? std::min(used.tokens, used.fraction * used.limit.burst + used.limit.extraTokens) : std::min(used.tokens, 1.0);
}

auto allowance_distributor::takeFloor(bucket& used, uint32_t count, time_point now) -> uint32_t
{
    while (!used.floorIssues.empty() && now > used.floorIssues.front() + used.limit.creditWindow)
        used.floorIssues.pop_front();
    auto issued = static_cast<uint32_t>(used.floorIssues.size());
    auto granted = std::min(count, used.limit.floorCount - std::min(issued, used.limit.floorCount));
    used.floorIssues.insert(used.floorIssues.end(), granted, now);
    return granted;
}

auto allowance_distributor::retryAfter(bucket& used, time_point now) -> duration
{
    auto rate = used.fraction * used.limit.requestsPerSecond;
    auto untilNext = std::min(toDuration(std::min((1 - used.tokens) / rate, 10.0)), maxRetryAfter);
    if (auto returnsAt = used.beyondTokens.nextReturn(used.limit.windowCredits, used.limit.creditWindow, now))
        untilNext = std::min(untilNext, std::max(*returnsAt - now, milliseconds(1)));
    // Denied nodes receive successive times, so that each finds a credit when it asks again, and requests follow the rate of credits.
    auto retryAt = std::max(now + untilNext, used.latestRetryAt + toDuration(std::min(1 / rate, 1.0)));
    used.latestRetryAt = std::min({ retryAt, now + untilNext + maxContentionWait, now + maxRetryAfter });
    return used.latestRetryAt - now;
}

auto allowance_distributor::grant(std::string_view asker, const credit_request& request, const limit_source& limitOf, time_point now) -> credit_grant
{
    auto [found, isNew] = m_answers.try_emplace({ std::string(asker), request.ticket }, answer { now, { request.ticket, {} } });
    if (!isNew)
        return found->second.grant;
    auto& granted = found->second.grant;
    for (auto& demand : request.demands) {
        auto limit = limitOf(demand.customer);
        granted.credits.push_back(limit.requestsPerSecond > 0 ? grantOne(demand, limit, now) : customer_credits { demand.customer, 0, {}, true });
    }
    return granted;
}

auto allowance_distributor::grantOne(const credit_demand& demand, const allowance_limit& limit, time_point now) -> customer_credits
{
    auto [found, isNew] = m_buckets.try_emplace(demand.customer);
    auto& used = found->second;
    if (isNew)
        used.filledAt = now;
    used.arrivals.add(std::min(demand.arrivals, uint32_t { 1'000 }), now);
    used.demandedAt = now;
    used.limit = limit;
    fill(used, now);
    if (!isLeased(used, now)) {
        used.beyondTokens.loseFraction();
        auto granted = takeFloor(used, demand.count, now);
        return { demand.customer, granted, {}, granted < demand.count };
    }
    auto available = static_cast<uint32_t>(used.tokens);
    auto granted = customer_credits { demand.customer, std::min(demand.count, available), {}, false };
    // Half of what is left, so that other nodes find tokens for requests that wait.
    auto ahead = std::min(demand.ahead, (available - granted.count) / 2);
    used.tokens -= granted.count + ahead;
    auto beyond = std::min(demand.count - granted.count, used.beyondTokens.available(limit.windowCredits, limit.creditWindow, now));
    used.beyondTokens.recordIssued(beyond, now);
    granted.count += ahead + beyond;
    auto isDenied = granted.count < demand.count;
    if (isDenied)
        granted.retryAfter = retryAfter(used, now);
    return granted;
}

auto allowance_distributor::takeDemands(time_point now, const std::function<bool(uint32_t)>& isFirst) -> std::vector<demand>
{
    auto due = std::vector<demand> {};
    auto isWanted = [&](const std::string& customer, const bucket& used) {
        return now <= used.demandedAt + substituteDemandTime || (now <= used.demandedAt + demandTime && isFirst(allowance_choice::bucketOf(customer)));
    };
    for (auto& [customer, used] : m_buckets) {
        if (now < used.askAgainAt)
            continue;
        if (!isWanted(customer, used)) {
            if (!isLeased(used, now))
                continue;
            used.leasedUntil = now;
            used.beyondTokens.loseFraction();
            used.arrivals = {};
            addDemand(due, customer, used, now);
            // The answer is of no use.
            used.ticket = 0;
        } else {
            used.unanswered += used.ticket != 0 ? 1 : 0;
            addDemand(due, customer, used, now);
        }
    }
    // Leases of a bucket are renewed together, also if they were first asked for at different times.
    for (auto& [customer, used] : m_buckets) {
        auto isSameBucket = [&, bucket = allowance_choice::bucketOf(customer)](auto& entry) { return entry.request.bucket == bucket; };
        if (used.ticket == 0 && now >= used.askedAt + renewalInterval / 2 && isWanted(customer, used) && std::ranges::any_of(due, isSameBucket))
            addDemand(due, customer, used, now);
    }
    return due;
}

auto allowance_distributor::addDemand(std::vector<demand>& due, const std::string& customer, bucket& used, time_point now) -> void
{
    auto bucket = allowance_choice::bucketOf(customer);
    auto fits = [&](auto& entry) { return entry.request.bucket == bucket && entry.candidate == used.unanswered && entry.request.demands.size() < maxAllowanceEntries; };
    auto found = std::ranges::find_if(due, fits);
    if (found == due.end()) {
        found = due.insert(due.end(), demand { used.unanswered, {} });
        found->request.ticket = m_nextTicket++;
        found->request.bucket = bucket;
    }
    used.ticket = found->request.ticket;
    used.askedAt = now;
    used.askAgainAt = now + (used.unanswered == 0 && !isLeased(used, now) ? firstAnswerTimeout : answerTimeout);
    auto held = isLeased(used, now) ? used.fraction : 0;
    found->request.demands.push_back({ customer, used.arrivals.perSecond(now), held, used.leasedUntil });
}

auto allowance_distributor::statement(uint32_t bucket, time_point now) -> std::optional<lease_request>
{
    auto stated = lease_request {};
    stated.ticket = m_nextTicket++;
    stated.bucket = bucket;
    stated.isStatement = true;
    for (auto& [customer, used] : m_buckets) {
        if (allowance_choice::bucketOf(customer) != bucket)
            continue;
        used.ticket = 0;
        used.askAgainAt = std::min(used.askAgainAt, now + statementPause);
        if (isLeased(used, now))
            stated.demands.push_back({ customer, used.arrivals.perSecond(now), used.fraction, used.leasedUntil });
    }
    return stated.demands.size() <= maxAllowanceEntries ? std::optional(std::move(stated)) : std::nullopt;
}

auto allowance_distributor::recordLeases(const lease_grant& grant, time_point now) -> void
{
    for (auto& lease : grant.leases) {
        auto found = m_buckets.find(lease.customer);
        if (found == m_buckets.end() || found->second.ticket != grant.ticket)
            continue;
        auto& used = found->second;
        used.ticket = 0;
        used.unanswered = 0;
        // Counted from the request, so that this node's lease ends before the distributor of the fleet counts it as ended.
        auto until = used.askedAt + lease.length;
        if (now >= until || !(lease.fraction >= 0 && lease.fraction <= 1))
            continue;
        // With the former fraction until now.
        fill(used, now);
        if (!isLeased(used, now))
            used.beyondTokens.loseFraction();
        used.beyondTokens.setFraction(lease.fraction, used.limit.creditWindow, now);
        used.fraction = lease.fraction;
        used.leasedUntil = until;
        // Without a share of the burst: an earlier holder may have issued it within the window, as before a restart or a lost path.
        if (lease.isFirst)
            used.tokens = std::max(used.tokens, used.limit.extraTokens);
        if (lease.fraction > 0)
            used.askAgainAt = used.askedAt + renewalInterval;
    }
}

auto allowance_distributor::fractionOf(std::string_view customer, time_point now) const -> double
{
    auto found = m_buckets.find(customer);
    return found != m_buckets.end() && isLeased(found->second, now) ? found->second.fraction : 0;
}

auto allowance_distributor::prune(time_point now) -> void
{
    std::erase_if(m_answers, [&](auto& entry) { return now > entry.second.at + creditLifetime; });
    std::erase_if(m_buckets, [&](auto& entry) { return now > entry.second.demandedAt + forgetTime; });
}

} // namespace gypsumhub
