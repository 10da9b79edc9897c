#include "gypsumhub/gateway/node_datagram_writer.h"

#include <algorithm>
#include <limits>

namespace gypsumhub {

namespace {

    auto toMilliseconds(duration length) -> uint32_t
    {
        return static_cast<uint32_t>(std::clamp<int64_t>(length.milliseconds(), 0, std::numeric_limits<uint32_t>::max()));
    }

    // Rounded up: an older confirmation is on the safe side.
    auto toMillisecondsAbove(duration length) -> uint32_t
    {
        constexpr auto remainder = int64_t { 999'999 };
        return toMilliseconds({ length.ns > std::numeric_limits<int64_t>::max() - remainder ? length.ns : length.ns + remainder });
    }

    // Rounded down: rounding up would lengthen a quarantine with every node that repeats it.
    auto toWholeSeconds(duration length) -> uint32_t
    {
        return toMilliseconds(length) / 1'000;
    }

    auto writeFingerprint(wire::RequestFingerprint::Builder written, const request_fingerprint& fingerprint) -> void
    {
        written.setHigh(fingerprint.high);
        written.setLow(fingerprint.low);
    }

    auto writeFingerprints(capnp::List<wire::RequestFingerprint>::Builder list, std::span<const request_fingerprint> fingerprints) -> void
    {
        for (auto index = uint32_t { 0 }; index < list.size(); ++index)
            writeFingerprint(list[index], fingerprints[index]);
    }

    auto writeLimit(wire::TargetLimit::Builder written, const target_limit& limit, time_point now) -> void
    {
        written.setTarget(limit.target);
        written.setIncarnation(limit.incarnation);
        written.setHasEnded(!limit.requestsPerSecond.has_value());
        written.setRequestsPerSecond(limit.requestsPerSecond.value_or(0));
        written.setStatedBeforeMs(toMilliseconds(now - limit.statedAt));
    }

    auto writeLostHosts(wire::NodeHello::Builder written, std::span<const std::string> hosts) -> void
    {
        if (hosts.empty())
            return;
        auto list = written.initLostHosts(static_cast<uint32_t>(hosts.size()));
        for (auto index = uint32_t { 0 }; index < list.size(); ++index)
            list.set(index, hosts[index]);
    }

} // namespace

auto datagram_writer::operator()(const node_hello& hello) -> void
{
    auto written = datagram.initHello();
    written.setIsReady(hello.isReady);
    written.setIsLeaving(hello.isLeaving);
    written.setConfigurationVersion(hello.configurationVersion);
    written.setViewDigest(hello.viewDigest);
    written.setViewAgeMs(toMilliseconds(hello.viewAge));
    written.setNodesDigest(hello.nodesDigest);
    writeLostHosts(written, hello.lostHosts);
    written.setConfigurationAgeMs(toMilliseconds(hello.configurationAge - unknownConfigurationAge));
    if (hello.confirmedAge != unconfirmedAge)
        written.setConfirmedAgeMs(toMillisecondsAbove(hello.confirmedAge + milliseconds(1)));
    if (hello.demands.empty())
        return;
    auto demands = written.initDemands(static_cast<uint32_t>(hello.demands.size()));
    for (auto index = uint32_t { 0 }; index < demands.size(); ++index) {
        demands[index].setHost(hello.demands[index].host);
        demands[index].setRequestsPerSecond(static_cast<float>(hello.demands[index].requestsPerSecond));
        demands[index].setMegabitsPerSecond(static_cast<float>(hello.demands[index].megabitsPerSecond));
    }
}

auto datagram_writer::operator()(const std::vector<peer_outcome>& outcomes) -> void
{
    auto list = datagram.initOutcomes(static_cast<uint32_t>(outcomes.size()));
    for (auto index = uint32_t { 0 }; index < list.size(); ++index) {
        auto& outcome = outcomes[index];
        list[index].setTarget(outcome.target);
        list[index].setIncarnation(outcome.incarnation);
        list[index].setFailed(outcome.failed);
        list[index].setSentBeforeMs(toMilliseconds(now - outcome.sentAt));
    }
}

auto datagram_writer::operator()(const std::vector<view_change>& changes) -> void
{
    auto list = datagram.initRegistrations(static_cast<uint32_t>(changes.size()));
    for (auto index = uint32_t { 0 }; index < list.size(); ++index) {
        auto& entry = changes[index].registration;
        auto written = list[index];
        written.setTarget(entry.id);
        written.setRemoved(changes[index].isRemoval);
        written.setService(entry.service);
        written.setAddress(entry.address.address);
        written.setPort(entry.address.port);
        written.setDataCentre(entry.dataCentre);
        written.setSlots(entry.slots);
        written.setDraining(entry.isDraining);
        written.setWarmInMs(toMilliseconds(entry.warmedUpAt - now));
        written.setIncarnation(entry.incarnation);
        written.setRevision(entry.revision);
    }
}

auto datagram_writer::operator()(const std::vector<crash_report>& reports) -> void
{
    auto list = datagram.initCrashes(static_cast<uint32_t>(reports.size()));
    for (auto index = uint32_t { 0 }; index < list.size(); ++index) {
        auto& report = reports[index];
        auto written = list[index];
        written.setTarget(report.target);
        written.setIncarnation(report.incarnation);
        written.setService(report.service);
        written.setCrashedBeforeMs(toMilliseconds(now - report.at));
        writeFingerprints(written.initInFlight(static_cast<uint32_t>(report.inFlight.size())), report.inFlight);
    }
}

auto datagram_writer::operator()(const exonerations& exonerated) -> void
{
    auto& fingerprints = exonerated.fingerprints;
    writeFingerprints(datagram.initExonerations(static_cast<uint32_t>(fingerprints.size())), fingerprints);
}

auto datagram_writer::operator()(const std::vector<quarantined_request>& quarantines) -> void
{
    auto list = datagram.initQuarantines(static_cast<uint32_t>(quarantines.size()));
    for (auto index = uint32_t { 0 }; index < list.size(); ++index) {
        writeFingerprint(list[index].initFingerprint(), quarantines[index].fingerprint);
        list[index].setRemainingSeconds(toWholeSeconds(quarantines[index].until - now));
    }
}

auto datagram_writer::operator()(const std::vector<target_limit>& limits) -> void
{
    auto list = datagram.initLimits(static_cast<uint32_t>(limits.size()));
    for (auto index = uint32_t { 0 }; index < list.size(); ++index)
        writeLimit(list[index], limits[index], now);
}

auto datagram_writer::operator()(const permit_request& request) -> void
{
    auto written = datagram.initPermitRequest();
    writeLimit(written.initLimit(), request.limit, now);
    written.setAsker(request.asker);
    written.setTicket(request.ticket);
    written.setCount(request.count);
    written.setIsForwarded(request.isForwarded);
}

auto datagram_writer::operator()(const permit_grant& grant) -> void
{
    auto written = datagram.initPermitGrant();
    writeLimit(written.initLimit(), grant.limit, now);
    written.setTicket(grant.ticket);
    written.setCount(grant.count);
    written.setRetryAfterMs(toMilliseconds(grant.retryAfter));
}

auto datagram_writer::operator()(const std::vector<leaving_target>& leaving) -> void
{
    auto list = datagram.initLeaving(static_cast<uint32_t>(leaving.size()));
    for (auto index = uint32_t { 0 }; index < list.size(); ++index) {
        list[index].setTarget(leaving[index].target);
        list[index].setIncarnation(leaving[index].incarnation);
    }
}

auto datagram_writer::operator()(const credit_request& request) -> void
{
    auto written = datagram.initCreditRequest();
    written.setTicket(request.ticket);
    auto list = written.initDemands(static_cast<uint32_t>(request.demands.size()));
    for (auto index = uint32_t { 0 }; index < list.size(); ++index) {
        list[index].setCustomer(request.demands[index].customer);
        list[index].setCount(request.demands[index].count);
        list[index].setAhead(request.demands[index].ahead);
        list[index].setArrivals(request.demands[index].arrivals);
    }
}

auto datagram_writer::operator()(const credit_grant& grant) -> void
{
    auto written = datagram.initCreditGrant();
    written.setTicket(grant.ticket);
    auto list = written.initCredits(static_cast<uint32_t>(grant.credits.size()));
    for (auto index = uint32_t { 0 }; index < list.size(); ++index) {
        list[index].setCustomer(grant.credits[index].customer);
        list[index].setCount(grant.credits[index].count);
        list[index].setRetryAfterMs(toMilliseconds(grant.credits[index].retryAfter));
        list[index].setIsPending(grant.credits[index].isPending);
    }
}

auto datagram_writer::operator()(const lease_request& request) -> void
{
    auto written = datagram.initLeaseRequest();
    written.setTicket(request.ticket);
    written.setBucket(request.bucket);
    written.setAsker(request.asker);
    written.setDataCentre(request.dataCentre);
    written.setIsForwarded(request.isForwarded);
    written.setProbe(request.probe);
    written.setIsStatement(request.isStatement);
    written.setIsBlocking(request.isBlocking);
    auto list = written.initDemands(static_cast<uint32_t>(request.demands.size()));
    for (auto index = uint32_t { 0 }; index < list.size(); ++index) {
        auto& demand = request.demands[index];
        list[index].setCustomer(demand.customer);
        list[index].setRequestsPerSecond(static_cast<float>(demand.requestsPerSecond));
        list[index].setHeldFraction(static_cast<float>(demand.heldFraction));
        list[index].setHeldForMs(toMilliseconds(demand.heldUntil - now));
    }
}

auto datagram_writer::operator()(const lease_grant& grant) -> void
{
    auto written = datagram.initLeaseGrant();
    written.setTicket(grant.ticket);
    written.setBucket(grant.bucket);
    auto list = written.initLeases(static_cast<uint32_t>(grant.leases.size()));
    for (auto index = uint32_t { 0 }; index < list.size(); ++index) {
        list[index].setCustomer(grant.leases[index].customer);
        list[index].setFraction(static_cast<float>(grant.leases[index].fraction));
        list[index].setForMs(toMilliseconds(grant.leases[index].length));
        list[index].setIsFirst(grant.leases[index].isFirst);
    }
}

auto datagram_writer::operator()(const configuration_age_request& request) -> void
{
    datagram.setConfigurationAgeRequest(request.ticket);
}

auto datagram_writer::operator()(const configuration_age& answer) -> void
{
    auto written = datagram.initConfigurationAge();
    written.setTicket(answer.ticket);
    written.setVersion(answer.version);
    written.setAgeMs(toMillisecondsAbove(answer.age));
}

} // namespace gypsumhub
