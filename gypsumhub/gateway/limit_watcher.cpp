#include "gypsumhub/gateway/limit_watcher.h"

#include "gypsumhub/core/clock.h"
#include "gypsumhub/platform/stated_rate.h"
#include "gypsumhub/platform/wire_names.h"

#include <boost/asio/post.hpp>
#include <utility>

namespace gypsumhub {

namespace {

    constexpr auto malformedLogInterval = seconds(10);
    // Bounds what a node sends for a target that states another limit in each answer.
    constexpr auto announcementInterval = milliseconds(250);
    constexpr auto pruneInterval = milliseconds(1000);

} // namespace

limit_watcher::limit_watcher(gateway_context& context, sender send)
    : m_context(context)
    , m_send(std::move(send))
{
}

auto limit_watcher::handleAnswer(const target_registration& target, const http::response_header<>& head, time_point sentAt) -> void
{
    // Misdirected request: the answer comes from another target at the same address.
    if (head.result() == http::status::misdirected_request)
        return;
    auto now = bootClockNow();
    auto stated = readStatedRate(head);
    if (stated.state == stated_rate::field_state::Malformed) {
        ++m_context.counters.malformedLimits;
        if (m_malformedLoggedAt == time_point {} || now >= m_malformedLoggedAt + malformedLogInterval) {
            m_malformedLoggedAt = now;
            m_context.log.write(log_class::Notable, "target_limit_malformed", { { "target", target.id }, { "service", target.service } });
        }
        return;
    }
    auto isValid = stated.state == stated_rate::field_state::Valid;
    if (!isValid && head.find(wire_names::signature) == head.end())
        return;
    auto limit = target_limit { target.id, target.incarnation, isValid ? std::optional(stated.requestsPerSecond) : std::nullopt, now };
    auto wasLimited = m_context.balancer.limits().find(target.id, target.incarnation) != nullptr;
    if (!m_context.balancer.limits().recordAnswer(limit, sentAt))
        return;
    handleChange(limit, m_context.settings.name);
    announce(target.id, wasLimited != isValid, now);
}

auto limit_watcher::record(const target_limit& limit, std::string_view statedTo) -> bool
{
    auto isChanged = m_context.balancer.limits().record(limit);
    if (isChanged)
        handleChange(limit, statedTo);
    return isChanged;
}

auto limit_watcher::handleChange(const target_limit& limit, std::string_view statedTo) -> void
{
    if (!limit.requestsPerSecond)
        m_context.balancer.permits().forget(limit.target);
    auto fields = boost::json::object { { "target", limit.target }, { "stated_to", statedTo } };
    if (limit.requestsPerSecond)
        fields["requests_per_second"] = *limit.requestsPerSecond;
    m_context.log.write(log_class::Notable, limit.requestsPerSecond ? "target_limit_stated" : "target_limit_ended", std::move(fields));
    dispatchSoon(limit.target);
}

auto limit_watcher::announce(const std::string& target, bool toFleet, time_point now) -> void
{
    auto& pending = m_announcements.try_emplace(target, announcement { now }).first->second;
    pending.isDue = true;
    pending.isForFleet |= toFleet;
    sendAnnouncements(now);
}

auto limit_watcher::sendAnnouncements(time_point now) -> void
{
    for (auto& [target, pending] : m_announcements) {
        auto* limit = m_context.balancer.limits().latest(target);
        if (!pending.isDue || now < pending.nextAt || !limit)
            continue;
        auto message = node_datagram { m_context.settings.name, std::vector { *limit } };
        if (pending.isForFleet) {
            // Callers of any data centre may be served by the target.
            m_send(message, m_context.memberView.fleetRecipients(m_context.random()));
        } else {
            for (auto& issuer : issuersOf(target, now))
                sendTo(issuer, message);
        }
        pending = { now + announcementInterval };
    }
}

auto limit_watcher::dispatchSoon(std::string_view target) -> void
{
    auto found = m_context.balancer.find(target);
    if (found)
        asio::post(m_context.io, [this, service = found->registration.service] { m_context.dispatcher(service).dispatchWaiting(); });
}

auto limit_watcher::issuersOf(std::string_view target, time_point now) const -> std::vector<std::string>
{
    auto found = m_context.balancer.find(target);
    return found ? m_context.memberView.permitIssuers(target, found->registration.dataCentre, now) : std::vector<std::string> {};
}

auto limit_watcher::requestPermits() -> void
{
    if (std::exchange(m_isRequestScheduled, true))
        return;
    asio::post(m_context.io, [this] {
        m_isRequestScheduled = false;
        sendPermitRequests();
    });
}

auto limit_watcher::sendPermitRequests() -> void
{
    for (auto& demand : m_context.balancer.permits().takeDemands(bootClockNow()))
        sendPermitRequest(demand);
}

auto limit_watcher::sendPermitRequest(const held_permits::demand& demand) -> void
{
    auto* limit = m_context.balancer.limits().latest(demand.target);
    auto issuers = issuersOf(demand.target, bootClockNow());
    if (!limit || issuers.empty())
        return;
    auto& name = m_context.settings.name;
    auto request = permit_request { *limit, name, demand.ticket, demand.count };
    ++m_context.counters.permitRequests;
    auto& issuer = issuers[demand.unanswered % issuers.size()];
    if (issuer == name)
        handlePermitRequest(request);
    else
        sendTo(issuer, { name, std::move(request) });
}

auto limit_watcher::sendTo(std::string_view node, const node_datagram& datagram) -> void
{
    if (auto* receiver = m_context.memberView.find(node))
        m_send(datagram, std::span(receiver, 1));
}

auto limit_watcher::handles(const node_datagram& datagram) -> bool
{
    auto& content = datagram.content;
    return std::holds_alternative<std::vector<target_limit>>(content) || std::holds_alternative<permit_request>(content)
        || std::holds_alternative<permit_grant>(content);
}

auto limit_watcher::handleDatagram(const node_datagram& datagram) -> void
{
    if (auto* limits = std::get_if<std::vector<target_limit>>(&datagram.content)) {
        auto changed = std::vector<target_limit> {};
        for (auto& limit : *limits) {
            if (record(limit, datagram.sender))
                changed.push_back(limit);
        }
        auto* sender = m_context.memberView.find(datagram.sender);
        if (!changed.empty() && sender && sender->dataCentre != m_context.settings.dataCentre)
            m_send({ m_context.settings.name, std::move(changed) }, m_context.memberView.localPeers());
    } else if (auto* request = std::get_if<permit_request>(&datagram.content))
        handlePermitRequest(*request);
    else if (auto* grant = std::get_if<permit_grant>(&datagram.content))
        handleGrant(*grant, datagram.sender);
}

auto limit_watcher::handlePermitRequest(const permit_request& request) -> void
{
    auto now = bootClockNow();
    auto& target = request.limit.target;
    record(request.limit, request.asker);
    auto issuers = issuersOf(target, now);
    if (issuers.empty())
        return;
    auto& name = m_context.settings.name;
    if (issuers.front() != name) {
        // The asker may not know yet which nodes of this data centre are up.
        auto forwarded = request;
        forwarded.isForwarded = true;
        if (!request.isForwarded && request.asker != name)
            sendTo(issuers.front(), { name, std::move(forwarded) });
        return;
    }
    auto* limit = m_context.balancer.limits().latest(target);
    // Null when the request reports the end of a limit that this node never received.
    auto granted = permit_grant { limit ? *limit : request.limit, request.ticket, 0, {} };
    if (limit && limit->requestsPerSecond) {
        granted = m_issuer.grant(request, *limit, now);
        m_context.counters.permitsGranted += granted.count;
        m_context.counters.permitsDenied += request.count - granted.count;
    }
    if (request.asker == name)
        handleGrant(granted, name);
    else
        sendTo(request.asker, { name, std::move(granted) });
}

auto limit_watcher::handleGrant(const permit_grant& grant, std::string_view issuer) -> void
{
    auto taken = m_context.balancer.permits().recordGrant(grant, bootClockNow());
    record(grant.limit, issuer);
    if (taken)
        dispatchSoon(grant.limit.target);
}

auto limit_watcher::tick(time_point now) -> void
{
    auto& balancer = m_context.balancer;
    balancer.permits().expire(now);
    m_issuer.tick(now, [&](std::string_view target) {
        auto issuers = issuersOf(target, now);
        return !issuers.empty() && issuers.front() == m_context.settings.name;
    });
    sendAnnouncements(now);
    sendPermitRequests();
    if (now < m_nextPrune)
        return;
    m_nextPrune = now + pruneInterval;
    balancer.limits().prune(now);
    std::erase_if(m_announcements, [&](auto& entry) { return !entry.second.isDue && now >= entry.second.nextAt; });
}

} // namespace gypsumhub
