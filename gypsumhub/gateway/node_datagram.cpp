#include "gypsumhub/gateway/node_datagram.h"

#include "gypsumhub/gateway/node_datagram_writer.h"

#include <algorithm>
#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <cmath>
#include <kj/exception.h>
#include <kj/io.h>
#include <limits>

namespace gypsumhub {

namespace {

    // No datagram written by a node needs more; protects against amplification by malformed ones.
    constexpr auto readLimitWords = uint64_t { 4096 };
    constexpr auto maxDatagramDemands = size_t { 8 };

    auto readDemands(wire::NodeHello::Reader hello) -> std::vector<host_demand>
    {
        auto demands = std::vector<host_demand> {};
        for (auto demand : hello.getDemands()) {
            if (demands.size() == maxDatagramDemands)
                break;
            // A negative or undefined rate counts as none.
            auto rateOf = [](float rate) { return rate > 0 ? static_cast<double>(rate) : 0.0; };
            demands.push_back({ demand.getHost().cStr(), rateOf(demand.getRequestsPerSecond()), rateOf(demand.getMegabitsPerSecond()) });
        }
        return demands;
    }

    auto readLostHosts(wire::NodeHello::Reader hello) -> std::vector<std::string>
    {
        auto hosts = std::vector<std::string> {};
        for (auto host : hello.getLostHosts()) {
            if (hosts.size() == maxHelloHosts)
                break;
            hosts.emplace_back(host.cStr());
        }
        return hosts;
    }

    auto readConfirmedAge(wire::NodeHello::Reader hello) -> duration
    {
        auto stated = hello.getConfirmedAgeMs();
        return stated == 0 ? unconfirmedAge : milliseconds(stated - 1);
    }

    auto readOutcomes(wire::NodeDatagram::Reader datagram, time_point now) -> std::vector<peer_outcome>
    {
        auto outcomes = std::vector<peer_outcome> {};
        for (auto outcome : datagram.getOutcomes()) {
            if (outcomes.size() == maxDatagramEntries)
                break;
            outcomes.push_back({ outcome.getTarget().cStr(), outcome.getIncarnation(), outcome.getFailed(), now - milliseconds(outcome.getSentBeforeMs()) });
        }
        return outcomes;
    }

    auto readRegistrations(wire::NodeDatagram::Reader datagram, time_point now) -> std::vector<view_change>
    {
        auto changes = std::vector<view_change> {};
        for (auto entry : datagram.getRegistrations()) {
            if (changes.size() == maxDatagramEntries)
                break;
            auto read = target_registration {};
            read.id = entry.getTarget().cStr();
            read.service = entry.getService().cStr();
            read.address = { entry.getAddress().cStr(), entry.getPort() };
            read.dataCentre = entry.getDataCentre().cStr();
            read.slots = std::max<uint32_t>(entry.getSlots(), 1);
            read.isDraining = entry.getDraining();
            read.warmedUpAt = now + milliseconds(entry.getWarmInMs());
            read.incarnation = entry.getIncarnation();
            read.revision = entry.getRevision();
            changes.push_back({ std::move(read), entry.getRemoved() });
        }
        return changes;
    }

    auto readFingerprint(wire::RequestFingerprint::Reader fingerprint) -> request_fingerprint
    {
        return { fingerprint.getHigh(), fingerprint.getLow() };
    }

    auto readFingerprints(capnp::List<wire::RequestFingerprint>::Reader list, size_t limit) -> std::vector<request_fingerprint>
    {
        auto fingerprints = std::vector<request_fingerprint> {};
        for (auto fingerprint : list) {
            if (fingerprints.size() == limit)
                break;
            fingerprints.push_back(readFingerprint(fingerprint));
        }
        return fingerprints;
    }

    auto readCrashes(wire::NodeDatagram::Reader datagram, time_point now) -> std::vector<crash_report>
    {
        auto reports = std::vector<crash_report> {};
        auto fingerprintsLeft = maxDatagramFingerprints;
        for (auto crash : datagram.getCrashes()) {
            if (reports.size() == maxDatagramEntries)
                break;
            auto inFlight = readFingerprints(crash.getInFlight(), fingerprintsLeft);
            fingerprintsLeft -= inFlight.size();
            reports.push_back({ crash.getTarget().cStr(), crash.getIncarnation(), crash.getService().cStr(), now - milliseconds(crash.getCrashedBeforeMs()),
                std::move(inFlight) });
        }
        return reports;
    }

    auto readQuarantines(wire::NodeDatagram::Reader datagram, time_point now) -> std::vector<quarantined_request>
    {
        auto quarantines = std::vector<quarantined_request> {};
        for (auto quarantine : datagram.getQuarantines()) {
            if (quarantines.size() == maxDatagramQuarantines)
                break;
            auto remaining = std::min(seconds(quarantine.getRemainingSeconds()), maxReceivedQuarantine);
            quarantines.push_back({ readFingerprint(quarantine.getFingerprint()), now + remaining });
        }
        return quarantines;
    }

    // Returns nullopt for a rate that is negative or not finite.
    auto readLimit(wire::TargetLimit::Reader limit, time_point now) -> std::optional<target_limit>
    {
        auto rate = limit.getRequestsPerSecond();
        if (!std::isfinite(rate) || rate < 0)
            return std::nullopt;
        return target_limit { limit.getTarget().cStr(), limit.getIncarnation(), limit.getHasEnded() ? std::nullopt : std::optional(rate),
            now - milliseconds(limit.getStatedBeforeMs()) };
    }

    auto readLimits(wire::NodeDatagram::Reader datagram, time_point now) -> std::vector<target_limit>
    {
        auto limits = std::vector<target_limit> {};
        for (auto entry : datagram.getLimits()) {
            if (limits.size() == maxDatagramEntries)
                break;
            if (auto limit = readLimit(entry, now))
                limits.push_back(std::move(*limit));
        }
        return limits;
    }

    auto readLeaving(wire::NodeDatagram::Reader datagram) -> std::vector<leaving_target>
    {
        auto leaving = std::vector<leaving_target> {};
        for (auto entry : datagram.getLeaving()) {
            if (leaving.size() == maxDatagramEntries)
                break;
            leaving.push_back({ entry.getTarget().cStr(), entry.getIncarnation() });
        }
        return leaving;
    }

    // A rate or fraction that is negative or undefined counts as none.
    auto readPositive(float value) -> double
    {
        return std::isfinite(value) && value > 0 ? static_cast<double>(value) : 0.0;
    }

    auto readCreditRequest(wire::CreditRequest::Reader request) -> credit_request
    {
        auto read = credit_request { request.getTicket(), {} };
        for (auto demand : request.getDemands()) {
            if (read.demands.size() == maxAllowanceEntries)
                break;
            read.demands.push_back({ demand.getCustomer().cStr(), demand.getCount(), demand.getAhead(), demand.getArrivals() });
        }
        return read;
    }

    auto readCreditGrant(wire::CreditGrant::Reader grant) -> credit_grant
    {
        auto read = credit_grant { grant.getTicket(), {} };
        for (auto credits : grant.getCredits()) {
            if (read.credits.size() == maxAllowanceEntries)
                break;
            read.credits.push_back({ credits.getCustomer().cStr(), credits.getCount(), milliseconds(credits.getRetryAfterMs()), credits.getIsPending() });
        }
        return read;
    }

    auto readLeaseRequest(wire::LeaseRequest::Reader request, time_point now) -> lease_request
    {
        auto read = lease_request { request.getAsker().cStr(), request.getDataCentre().cStr(), request.getTicket(), request.getBucket(), request.getIsForwarded(), {}, request.getProbe(), request.getIsStatement(), request.getIsBlocking() };
        for (auto demand : request.getDemands()) {
            if (read.demands.size() == maxAllowanceEntries)
                break;
            read.demands.push_back({ demand.getCustomer().cStr(), readPositive(demand.getRequestsPerSecond()), readPositive(demand.getHeldFraction()),
                now + milliseconds(demand.getHeldForMs()) });
        }
        return read;
    }

    auto readLeaseGrant(wire::LeaseGrant::Reader grant) -> lease_grant
    {
        auto read = lease_grant { grant.getTicket(), grant.getBucket(), {} };
        for (auto lease : grant.getLeases()) {
            if (read.leases.size() == maxAllowanceEntries)
                break;
            read.leases.push_back({ lease.getCustomer().cStr(), readPositive(lease.getFraction()), milliseconds(lease.getForMs()), lease.getIsFirst() });
        }
        return read;
    }

    auto readDatagram(wire::NodeDatagram::Reader datagram, time_point now) -> std::optional<node_datagram>
    {
        auto read = node_datagram { datagram.getSender().cStr(), {} };
        switch (datagram.which()) {
        case wire::NodeDatagram::HELLO: {
            auto hello = datagram.getHello();
            read.content = node_hello { read.sender, hello.getIsReady(), hello.getIsLeaving(), hello.getConfigurationVersion(),
                hello.getViewDigest(), milliseconds(hello.getViewAgeMs()), hello.getNodesDigest(), readDemands(hello), readLostHosts(hello),
                unknownConfigurationAge + milliseconds(hello.getConfigurationAgeMs()), readConfirmedAge(hello) };
            return read;
        }
        case wire::NodeDatagram::OUTCOMES:
            read.content = readOutcomes(datagram, now);
            return read;
        case wire::NodeDatagram::REGISTRATIONS:
            read.content = readRegistrations(datagram, now);
            return read;
        case wire::NodeDatagram::CRASHES:
            read.content = readCrashes(datagram, now);
            return read;
        case wire::NodeDatagram::EXONERATIONS:
            read.content = exonerations { readFingerprints(datagram.getExonerations(), maxDatagramFingerprints) };
            return read;
        case wire::NodeDatagram::QUARANTINES:
            read.content = readQuarantines(datagram, now);
            return read;
        case wire::NodeDatagram::LIMITS:
            read.content = readLimits(datagram, now);
            return read;
        case wire::NodeDatagram::LEAVING:
            read.content = readLeaving(datagram);
            return read;
        case wire::NodeDatagram::PERMIT_REQUEST: {
            auto request = datagram.getPermitRequest();
            auto limit = readLimit(request.getLimit(), now);
            if (!limit)
                return std::nullopt;
            read.content = permit_request { std::move(*limit), request.getAsker().cStr(), request.getTicket(), request.getCount(), request.getIsForwarded() };
            return read;
        }
        case wire::NodeDatagram::PERMIT_GRANT: {
            auto grant = datagram.getPermitGrant();
            auto limit = readLimit(grant.getLimit(), now);
            if (!limit)
                return std::nullopt;
            read.content = permit_grant { std::move(*limit), grant.getTicket(), grant.getCount(), milliseconds(grant.getRetryAfterMs()) };
            return read;
        }
        case wire::NodeDatagram::CREDIT_REQUEST:
            read.content = readCreditRequest(datagram.getCreditRequest());
            return read;
        case wire::NodeDatagram::CREDIT_GRANT:
            read.content = readCreditGrant(datagram.getCreditGrant());
            return read;
        case wire::NodeDatagram::LEASE_REQUEST:
            read.content = readLeaseRequest(datagram.getLeaseRequest(), now);
            return read;
        case wire::NodeDatagram::LEASE_GRANT:
            read.content = readLeaseGrant(datagram.getLeaseGrant());
            return read;
        case wire::NodeDatagram::CONFIGURATION_AGE_REQUEST:
            read.content = configuration_age_request { datagram.getConfigurationAgeRequest() };
            return read;
        case wire::NodeDatagram::CONFIGURATION_AGE: {
            auto answer = datagram.getConfigurationAge();
            read.content = configuration_age { answer.getTicket(), answer.getVersion(), milliseconds(answer.getAgeMs()) };
            return read;
        }
        default:
            return std::nullopt;
        }
    }

} // namespace

auto encodeDatagram(const node_datagram& given, time_point now) -> std::string
{
    auto message = capnp::MallocMessageBuilder {};
    auto root = message.initRoot<wire::NodeDatagram>();
    root.setSender(given.sender);
    std::visit(datagram_writer { root, now }, given.content);
    auto output = kj::VectorOutputStream {};
    capnp::writePackedMessage(output, message);
    auto bytes = output.getArray();
    return { reinterpret_cast<const char*>(bytes.begin()), bytes.size() };
}

auto decodeDatagram(std::string_view bytes, time_point now) -> std::optional<node_datagram>
{
    auto read = std::optional<node_datagram> {};
    // Cap'n Proto reports malformed bytes by exception.
    auto failure = kj::runCatchingExceptions([&] {
        auto input = kj::ArrayInputStream({ reinterpret_cast<const kj::byte*>(bytes.data()), bytes.size() });
        auto options = capnp::ReaderOptions {};
        options.traversalLimitInWords = readLimitWords;
        auto message = capnp::PackedMessageReader(input, options);
        read = readDatagram(message.getRoot<wire::NodeDatagram>(), now);
    });
    if (failure != nullptr)
        return std::nullopt;
    return read;
}

} // namespace gypsumhub
