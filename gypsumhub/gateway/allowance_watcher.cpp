#include "gypsumhub/gateway/allowance_watcher.h"

#include "gypsumhub/core/clock.h"

#include <algorithm>
#include <boost/asio/post.hpp>

namespace gypsumhub {

namespace {

    constexpr auto pumpInterval = std::chrono::milliseconds(20);
    // A change of the available nodes is used this much later.
    constexpr auto candidatesTime = milliseconds(100);
    constexpr auto refreshInterval = milliseconds(500);
    // A node that starts lists the nodes of its own data centre first. With these alone it would take itself for the distributor of the fleet,
    // and its floor would be too high. A data centre of the settings without nodes delays this no longer.
    constexpr auto fleetListingTime = seconds(10);
    constexpr auto logInterval = seconds(10);

    // Increases over starts of a node on the same machine.
    auto firstTicket() -> uint64_t
    {
        return static_cast<uint64_t>(bootClockNow().ns);
    }

} // namespace

allowance_watcher::allowance_watcher(gateway_context& context, sender send)
    : m_context(context)
    , m_send(std::move(send))
    , m_credits(firstTicket())
    , m_distributor(firstTicket())
    , m_pumpTimer(context.io.get_executor())
{
}

auto allowance_watcher::connect() -> void
{
    if (!isActive())
        return;
    m_context.acquireAllowance = [this](std::string customer) { return acquire(std::move(customer)); };
    m_context.giveBackAllowance = [this](const std::string& customer, time_point until) { giveBack(customer, until); };
}

auto allowance_watcher::acquire(std::string customer) -> task<allowance_end>
{
    auto now = bootClockNow();
    m_credits.recordArrival(customer, now);
    auto& queue = m_waiting[customer];
    if (queue.empty()) {
        auto taken = m_credits.take(customer, now);
        if (taken.kind == allowance_credits::answer::Granted)
            co_return record(customer, { allowance_end::Granted, taken.until }, now);
        if (taken.kind == allowance_credits::answer::OverLimit)
            co_return record(customer, { allowance_end::OverLimit, taken.until }, now);
    }
    auto wait = std::make_shared<credit_wait>(m_context.io.get_executor(), now + creditLifetime);
    queue.push_back(wait);
    m_credits.setWaiting(customer, queue.size());
    schedulePump();
    wait->timer.expires_at(steady_timer::time_point::max());
    if (!wait->isFinished)
        co_await wait->timer.async_wait(useTask);
    co_return wait->end;
}

auto allowance_watcher::giveBack(const std::string& customer, time_point until) -> void
{
    m_credits.giveBack(customer, until, bootClockNow());
}

auto allowance_watcher::record(const std::string& customer, allowance_end end, time_point now) -> allowance_end
{
    auto& counters = m_context.counters.ofCustomer(customer);
    ++(end.kind == allowance_end::Granted ? counters.admitted : end.kind == allowance_end::OverLimit ? counters.overLimit
                                                                                                     : counters.unavailable);
    if (end.kind == allowance_end::Granted)
        return end;
    auto& logAgainAt = m_logAgainAt[customer];
    if (now >= logAgainAt) {
        logAgainAt = now + logInterval;
        auto isOver = end.kind == allowance_end::OverLimit;
        m_context.log.write(log_class::Notable, isOver ? "customer_over_limit" : "customer_limit_unavailable",
            { { "customer", customer }, { "requests_per_second", limitOf(customer).requestsPerSecond }, { "retry_ms", isOver ? (end.until - now).milliseconds() : 0 },
                { "admitted", counters.admitted }, { "over_limit", counters.overLimit }, { "unavailable", counters.unavailable } });
    }
    return end;
}

auto allowance_watcher::schedulePump() -> void
{
    if (!std::exchange(m_isPumpScheduled, true))
        asio::post(m_context.io, [this] { pump(); });
}

auto allowance_watcher::pump() -> void
{
    m_isPumpScheduled = false;
    auto now = bootClockNow();
    auto isWaiting = false;
    sendCreditRequests(now);
    for (auto& [customer, queue] : m_waiting) {
        serveWaiting(customer, now);
        isWaiting |= !queue.empty();
    }
    sendLeaseRequests(now);
    if (!isWaiting)
        return;
    m_isPumpScheduled = true;
    m_pumpTimer.expires_after(pumpInterval);
    m_pumpTimer.async_wait([this](const error_code& error) {
        if (!error)
            pump();
    });
}

auto allowance_watcher::serveWaiting(const std::string& customer, time_point now) -> void
{
    auto found = m_waiting.find(customer);
    if (found == m_waiting.end())
        return;
    auto& queue = found->second;
    while (!queue.empty()) {
        auto taken = m_credits.take(customer, now);
        auto isLate = now >= queue.front()->expiresAt;
        if (taken.kind == allowance_credits::answer::Wait && !isLate)
            break;
        auto kind = taken.kind == allowance_credits::answer::Granted ? allowance_end::Granted : taken.kind == allowance_credits::answer::OverLimit ? allowance_end::OverLimit
                                                                                                                                                   : allowance_end::Unavailable;
        auto wait = std::move(queue.front());
        queue.pop_front();
        wait->end = record(customer, { kind, taken.until }, now);
        wait->isFinished = true;
        wait->timer.cancel();
    }
    m_credits.setWaiting(customer, queue.size());
}

auto allowance_watcher::sendCreditRequests(time_point now) -> void
{
    auto& settings = m_context.settings;
    for (auto& demand : m_credits.takeDemands(now)) {
        auto nodes = candidates(settings.dataCentre, demand.bucket, now);
        auto& node = nodes[demand.candidate % nodes.size()];
        ++m_context.counters.creditRequests;
        if (node == settings.name)
            handleCreditRequest(demand.request, node, now);
        else
            sendTo(node, { settings.name, std::move(demand.request) });
    }
}

auto allowance_watcher::handles(const node_datagram& datagram) -> bool
{
    auto& content = datagram.content;
    return std::holds_alternative<credit_request>(content) || std::holds_alternative<credit_grant>(content) || std::holds_alternative<lease_request>(content)
        || std::holds_alternative<lease_grant>(content);
}

auto allowance_watcher::handleDatagram(const node_datagram& datagram) -> void
{
    if (!isActive())
        return;
    auto now = bootClockNow();
    if (auto* request = std::get_if<credit_request>(&datagram.content))
        handleCreditRequest(*request, datagram.sender, now);
    else if (auto* grant = std::get_if<credit_grant>(&datagram.content))
        handleCreditGrant(*grant, now);
    else if (auto* leases = std::get_if<lease_grant>(&datagram.content))
        m_distributor.recordLeases(*leases, now);
    else if (auto* asked = std::get_if<lease_request>(&datagram.content)) {
        if (asked->isForwarded || asked->asker == datagram.sender)
            handleLeaseRequest(*asked, now);
    }
}

auto allowance_watcher::handleCreditRequest(const credit_request& request, const std::string& asker, time_point now) -> void
{
    // Another node takes over and does not wait until the leases of a node that has left end.
    if (m_context.shutdown.hasBegun() && asker != m_context.settings.name)
        return;
    refreshFleet(now);
    auto granted = m_distributor.grant(
        asker, request, [this](std::string_view customer) { return limitOf(customer); }, now);
    auto count = uint64_t { 0 };
    for (auto& credits : granted.credits) {
        count += credits.count;
        m_context.counters.creditsDenied += credits.retryAfter.ns > 0 ? 1 : 0;
    }
    m_context.counters.creditsGranted += count;
    // The first request of a customer needs a lease at once.
    sendLeaseRequests(now);
    if (asker == m_context.settings.name)
        handleCreditGrant(granted, now);
    else
        sendTo(asker, { m_context.settings.name, std::move(granted) });
}

auto allowance_watcher::handleCreditGrant(const credit_grant& grant, time_point now) -> void
{
    for (auto& customer : m_credits.recordGrant(grant, now))
        serveWaiting(customer, now);
}

auto allowance_watcher::sendTo(const std::string& node, node_datagram datagram) -> void
{
    if (auto* receiver = m_context.memberView.find(node))
        m_send(datagram, std::span(receiver, 1));
}

auto allowance_watcher::limitOf(std::string_view customer) const -> allowance_limit
{
    auto* known = m_context.routes ? m_context.routes->customerNamed(customer) : nullptr;
    if (!known || !known->isLimited())
        return {};
    auto& settings = m_context.settings.customers;
    auto dataCentres = std::max(m_dataCentres.size(), m_context.settings.dataCentres.size());
    auto limit = allowanceLimitOf(known->requestsPerSecond, known->burst, { settings.limitWindow, settings.limitOvershoot, settings.limitSlack }, m_nodeCount, dataCentres);
    if (!knowsFleet(bootClockNow()))
        limit.floorCount = 0;
    return limit;
}

auto allowance_watcher::hasLimits() const -> bool
{
    return m_context.routes && std::ranges::any_of(m_context.routes->customers(), &customer::isLimited);
}

auto allowance_watcher::candidates(const std::string& dataCentre, uint32_t bucket, time_point now) -> const std::vector<std::string>&
{
    auto& chosen = m_candidates[{ dataCentre, bucket }];
    if (now < chosen.until)
        return chosen.names;
    auto& settings = m_context.settings;
    auto nodes = std::vector<allowance_node> {};
    for (auto* node : m_context.memberView.availableNodes(dataCentre, now)) {
        if (node->dataCentre == dataCentre)
            nodes.push_back({ node->name, node->size.covers(settings.directorySize) });
    }
    if (nodes.empty() && dataCentre == settings.dataCentre)
        nodes.push_back({ settings.name, true });
    chosen = { allowance_choice::distributors(nodes, bucket), now + candidatesTime };
    return chosen.names;
}

auto allowance_watcher::isFirst(uint32_t bucket, time_point now) -> bool
{
    return candidates(m_context.settings.dataCentre, bucket, now).front() == m_context.settings.name;
}

auto allowance_watcher::isFleetDistributor(uint32_t bucket, time_point now) -> bool
{
    if (!knowsFleet(now))
        return false;
    auto& own = m_context.settings.dataCentre;
    auto dataCentres = std::vector<std::string>(m_dataCentres.begin(), m_dataCentres.end());
    if (allowance_choice::fleetDataCentre(dataCentres, bucket) != own || !isFirst(bucket, now))
        return false;
    auto available = m_context.memberView.availableNodes(own, now);
    auto heard = std::ranges::count_if(available, [&](auto* node) { return node->dataCentre == own; });
    return allowance_choice::mayLease(m_context.confirmationAge(now), static_cast<size_t>(heard), m_localCount);
}

auto allowance_watcher::knowsFleet(time_point now) const -> bool
{
    return m_dataCentres.size() >= m_context.settings.dataCentres.size() || now > m_context.startedAt + fleetListingTime;
}

auto allowance_watcher::refreshFleet(time_point now) -> void
{
    if (now < m_nextRefresh)
        return;
    m_nextRefresh = now + refreshInterval;
    auto& own = m_context.settings.dataCentre;
    m_dataCentres.insert(own);
    m_nodeCount = 1;
    m_localCount = 1;
    for (auto& node : m_context.memberView.peers()) {
        ++m_nodeCount;
        m_localCount += node.dataCentre == own ? 1 : 0;
        m_dataCentres.insert(node.dataCentre);
    }
}

auto allowance_watcher::tick(time_point now) -> void
{
    if (!isActive())
        return;
    auto isServing = hasLimits() && m_context.isInitialized();
    if (isServing)
        refreshFleet(now);
    m_leases.tick(now, [&](uint32_t bucket) {
        auto isDistributor = isServing && isFleetDistributor(bucket, now);
        if (std::exchange(m_isFleetDistributor.at(bucket), isDistributor) != isDistributor)
            m_context.log.write(log_class::Notable, isDistributor ? "limit_distributor_begins" : "limit_distributor_ends", { { "bucket", bucket }, { "registered_nodes", m_nodeCount } });
        return isDistributor;
    });
    logSettled(now);
    m_credits.prune(now);
    m_distributor.prune(now);
    std::erase_if(m_logAgainAt, [&](auto& entry) { return now >= entry.second; });
    std::erase_if(m_waiting, [](auto& entry) { return entry.second.empty(); });
    sendLeaseRequests(now);
}

} // namespace gypsumhub
