#include "gypsumhub/gateway/allowance_watcher.h"

#include <algorithm>

// The leases of data centres: requests for them, grants, and handovers between distributors of the fleet.

namespace gypsumhub {

auto allowance_watcher::sendLeaseRequests(time_point now) -> void
{
    auto& settings = m_context.settings;
    if (m_distributor.customerCount() == 0)
        return;
    refreshFleet(now);
    auto dataCentres = std::vector<std::string>(m_dataCentres.begin(), m_dataCentres.end());
    for (auto& demand : m_distributor.takeDemands(now, [&](uint32_t bucket) { return isFirst(bucket, now); })) {
        auto nodes = candidates(allowance_choice::fleetDataCentre(dataCentres, demand.request.bucket), demand.request.bucket, now);
        if (nodes.empty())
            continue;
        auto& node = nodes[demand.candidate % nodes.size()];
        demand.request.asker = settings.name;
        demand.request.dataCentre = settings.dataCentre;
        ++m_context.counters.leaseRequests;
        if (node == settings.name)
            handleLeaseRequest(demand.request, now);
        else
            sendTo(node, { settings.name, std::move(demand.request) });
    }
}

auto allowance_watcher::handleLeaseRequest(const lease_request& request, time_point now) -> void
{
    auto& name = m_context.settings.name;
    if (request.bucket >= allowance_choice::bucketCount)
        return;
    if (request.isStatement) {
        m_leases.recordStatement(request, now);
        return;
    }
    if (request.probe != 0) {
        answerProbe(request, now);
        return;
    }
    auto& first = candidates(m_context.settings.dataCentre, request.bucket, now).front();
    if (first != name) {
        // The asker may not know yet which nodes of this data centre are up.
        auto forwarded = request;
        forwarded.isForwarded = true;
        if (!request.isForwarded)
            sendTo(first, { name, std::move(forwarded) });
        return;
    }
    refreshFleet(now);
    auto granted = m_leases.grant(
        request, m_dataCentres.size(), [this](std::string_view customer) { return limitOf(customer); }, now);
    sendProbes(request.bucket, now);
    if (!granted)
        return;
    m_context.counters.leasesGranted += granted->leases.size();
    if (request.asker == name)
        m_distributor.recordLeases(*granted, now);
    else
        sendTo(request.asker, { name, std::move(*granted) });
}

auto allowance_watcher::answerProbe(const lease_request& probe, time_point now) -> void
{
    auto& settings = m_context.settings;
    auto stated = m_distributor.statement(probe.bucket, now);
    auto statement = stated ? std::move(*stated) : lease_request { .bucket = probe.bucket, .isStatement = true, .isBlocking = true };
    statement.asker = settings.name;
    statement.dataCentre = settings.dataCentre;
    statement.probe = probe.probe;
    statement.isBlocking |= probe.asker != settings.name && m_leases.serves(probe.bucket);
    if (probe.asker == settings.name)
        m_leases.recordStatement(statement, now);
    else
        sendTo(probe.asker, { settings.name, std::move(statement) });
}

auto allowance_watcher::sendProbes(uint32_t bucket, time_point now) -> void
{
    if (!m_leases.serves(bucket))
        return;
    auto& settings = m_context.settings;
    auto due = m_leases.takeProbe(bucket, registeredCandidates(bucket), now);
    if (!due)
        return;
    auto probe = lease_request { .asker = settings.name, .dataCentre = settings.dataCentre, .bucket = bucket, .probe = due->number };
    for (auto& receiver : due->receivers) {
        if (receiver == settings.name)
            answerProbe(probe, now);
        else
            sendTo(receiver, { settings.name, probe });
    }
}

auto allowance_watcher::registeredCandidates(uint32_t bucket) const -> std::vector<std::string>
{
    auto& settings = m_context.settings;
    auto peers = m_context.memberView.peers();
    auto names = std::vector<std::string> {};
    for (auto& dataCentre : m_dataCentres) {
        auto nodes = std::vector<allowance_node> {};
        if (dataCentre == settings.dataCentre)
            nodes.push_back({ settings.name, settings.size.covers(settings.directorySize) });
        for (auto& node : peers) {
            if (node.dataCentre == dataCentre)
                nodes.push_back({ node.name, node.size.covers(settings.directorySize) });
        }
        std::ranges::move(allowance_choice::distributors(nodes, bucket), std::back_inserter(names));
    }
    return names;
}

auto allowance_watcher::logSettled(time_point now) -> void
{
    for (auto bucket = uint32_t { 0 }; bucket < allowance_choice::bucketCount; ++bucket) {
        auto isSettled = m_leases.isSettled(bucket, now);
        if (isSettled && !m_isSettled.at(bucket))
            m_context.log.write(log_class::Notable, "limit_handover_ended", { { "bucket", bucket }, { "unstated", m_leases.unstatedCount(bucket) } });
        m_isSettled.at(bucket) = isSettled;
    }
}

} // namespace gypsumhub
