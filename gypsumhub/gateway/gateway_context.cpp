#include "gypsumhub/gateway/gateway_context.h"

#include "gypsumhub/core/clock.h"
#include "gypsumhub/core/deadline_timer.h"
#include "gypsumhub/core/hash.h"
#include "gypsumhub/decision/selection/start_hold.h"
#include "gypsumhub/platform/stated_pause.h"

#include <algorithm>

namespace gypsumhub {

namespace {

    constexpr auto bytesPerMegabyte = size_t { 1'000'000 };
    // Of the machine's memory. The rest holds the program, its state, sockets and what the allocator does not return at once.
    constexpr auto bufferPercent = size_t { 55 };
    constexpr auto startupCheckInterval = milliseconds(10);
    constexpr auto confirmationHold = milliseconds(200);
    // A target is logged as ejected or reinstated when its probability of being bad crosses this threshold.
    constexpr auto ejectionThreshold = 0.5;

    // Different for each node and after each restart.
    auto seedOf(const gateway_settings& settings) -> uint64_t
    {
        return mixHashes(hashName(settings.name), static_cast<uint64_t>(wallClockNow().ns));
    }

    auto regionIn(const gateway_settings& settings, std::string_view dataCentre) -> std::string
    {
        for (auto& [name, region] : settings.dataCentres) {
            if (name == dataCentre)
                return region;
        }
        return {};
    }

} // namespace

gateway_context::gateway_context(gateway_settings given)
    : settings(std::move(given))
    , buffers(settings.memoryMegabytes * bytesPerMegabyte * bufferPercent / 100)
    , random(seedOf(settings))
    , log({ settings.logDescriptor, settings.logLinesPerSecond })
    , balancer(
          settings.dataCentre, [this](std::string_view name) { return regionIn(settings, name); }, settings.selection, random())
    , memberView({ settings.name, settings.dataCentre, settings.callerAddress, settings.peerAddress, {}, settings.size })
    , startedAt(bootClockNow())
{
}

auto gateway_context::awaitInitialized(time_point arrivedAt, const bool& isCancelled) -> task<>
{
    if (isInitialized())
        co_return;
    auto until = holdUntil(arrivedAt, startedAt, heldRequests);
    auto timer = steady_timer(io.get_executor());
    ++heldRequests;
    while (!isInitialized() && !isCancelled && !shutdown.hasBegun() && bootClockNow() < until)
        co_await sleepUntil(timer, bootClockNow() + startupCheckInterval);
    --heldRequests;
}

auto gateway_context::needsConfirmation() const -> bool
{
    auto isWanted = settings.customers.revocationLimit > duration {} || settings.customers.limitWindow > duration {};
    return isWanted && routes && routes->hasCustomers();
}

auto gateway_context::acceptsKeys(time_point arrivedAt) const -> bool
{
    auto limit = settings.customers.revocationLimit;
    return limit <= duration {} || freshness.accepts(arrivedAt, limit);
}

auto gateway_context::awaitConfirmation(time_point arrivedAt, const bool& isCancelled) -> task<>
{
    // Longer while the node starts, and not at all while many are held.
    auto until = std::max(std::min(arrivedAt + confirmationHold, holdUntil(arrivedAt, arrivedAt, heldRequests)), holdUntil(arrivedAt, startedAt, heldRequests));
    auto timer = steady_timer(io.get_executor());
    ++heldRequests;
    while (!acceptsKeys(arrivedAt) && onConfirmationNeeded() && !isCancelled && !shutdown.hasBegun() && bootClockNow() < until)
        co_await sleepUntil(timer, bootClockNow() + startupCheckInterval);
    --heldRequests;
}

auto gateway_context::retryReserveShare(std::string_view host, time_point now) const -> double
{
    // The callers of a host connect to a small group of nodes in each data centre, which share the reserve. Half of it is kept
    // for the nodes that replace them when they fail.
    auto group = memberView.group(host, settings.dataCentre, groupRequirement(), now);
    auto isMember = std::ranges::find(group, settings.callerAddress) != group.end();
    auto members = static_cast<double>(std::max<size_t>(settings.directoryNodes, group.size()) * settings.dataCentres.size());
    return isMember ? 0.5 / members : 0;
}

auto gateway_context::pathsTo(std::string_view service) -> path_monitor&
{
    auto found = paths.find(service);
    if (found == paths.end())
        found = paths.emplace(std::string(service), path_monitor(random())).first;
    return found->second;
}

auto gateway_context::hasLostPaths(std::string_view service) const -> bool
{
    auto found = paths.find(service);
    return found != paths.end() && found->second.areLost();
}

auto gateway_context::lostHosts() const -> std::vector<std::string>
{
    auto hosts = std::vector<std::string> {};
    if (!routes || std::ranges::none_of(paths, [](auto& entry) { return entry.second.areLost(); }))
        return hosts;
    for (auto& used : routes->routes()) {
        auto isLost = std::ranges::any_of(used.services, [&](auto& entry) { return hasLostPaths(entry.service); });
        if (isLost && std::ranges::find(hosts, used.host) == hosts.end() && hosts.size() < maxHelloHosts)
            hosts.push_back(used.host);
    }
    return hosts;
}

auto gateway_context::recordConnect(std::string_view service, std::string_view target, bool isOpen, time_point startedAt) -> void
{
    if (isOpen)
        pathsTo(service).recordConnected(target, bootClockNow());
    else
        pathsTo(service).recordConnectFailure(target, startedAt, bootClockNow());
}

auto gateway_context::recordOutcome(target_state& target, outcome_kind kind, time_point sentAt, bool mayBePath) -> void
{
    // Without a path nothing is learned about the target.
    if (hasLostPaths(target.registration.service) && kind != outcome_kind::Success)
        return;
    if (mayBePath)
        target.pathFailedAt = bootClockNow();
    auto change = balancer.observe(target, kind, sentAt, bootClockNow());
    logHealthChange(target, change, kind, settings.name);
    if (!isInformative(kind, change) || mayBePath || !broadcastOutcomes)
        return;
    ++counters.outcomesSent;
    broadcastOutcomes({ { target.registration.id, target.registration.incarnation, kind == outcome_kind::Failure, sentAt } });
}

auto gateway_context::recordPeerOutcome(const peer_outcome& outcome, std::string_view sender) -> void
{
    auto target = balancer.find(outcome.target);
    if (!target || target->registration.incarnation != outcome.incarnation)
        return;
    ++counters.outcomesReceived;
    auto kind = outcome.failed ? outcome_kind::Failure : outcome_kind::Success;
    auto change = balancer.observe(*target, kind, outcome.sentAt, bootClockNow());
    logHealthChange(*target, change, kind, sender);
    dispatcher(target->registration.service).dispatchWaiting();
}

auto gateway_context::logHealthChange(const target_state& target, health_change change, outcome_kind kind, std::string_view seenBy) -> void
{
    auto crosses = (change.before < ejectionThreshold) != (change.after < ejectionThreshold);
    if (!crosses)
        return;
    constexpr auto names = std::to_array<std::string_view>({ "success", "failure", "stall" });
    log.write(log_class::Notable, change.after < ejectionThreshold ? "target_reinstated" : "target_set_aside",
        { { "target", target.registration.id }, { "service", target.registration.service }, { "outcome", names[static_cast<size_t>(kind)] },
            { "seen_by", seenBy }, { "probability_before", change.before }, { "probability_after", change.after },
            { "long_run_probability", balancer.model(target.registration.service).rates().stationaryProbabilityBad() } });
}

auto gateway_context::recordDecline(target_state& target, const http::response_header<>& head, time_point now) -> void
{
    balancer.recordFull(target, now);
    if (head.result() != http::status::service_unavailable)
        return;
    auto pause = readStatedPause(head);
    if (pause.isMalformed) {
        ++counters.malformedPauses;
        return;
    }
    if (!pause.length)
        return;
    ++counters.pauses;
    if (balancer.recordPause(target, *pause.length, now))
        log.write(log_class::Notable, "target_paused", { { "target", target.registration.id }, { "service", target.registration.service }, { "for_ms", (target.pausedUntil - now).milliseconds() } });
}

auto gateway_context::noTargetRetryAfter(std::string_view service) -> duration
{
    auto now = bootClockNow();
    auto until = balancer.pausedUntil(service, now);
    return until > now ? until - now : defaultRetryAfter;
}

auto gateway_context::regionOf(std::string_view dataCentre) const -> std::string
{
    return regionIn(settings, dataCentre);
}

auto gateway_context::dispatcher(std::string_view service) -> service_dispatcher&
{
    auto found = dispatchers.find(service);
    if (found == dispatchers.end()) {
        auto retryBudget = fleet_retry_budget::settings { settings.retryShare, settings.retryReserve, settings.retryWindow, startedAt };
        found = dispatchers.emplace(std::string(service), std::make_unique<service_dispatcher>(io, std::string(service), balancer, retryBudget, [this] { onPermitsNeeded(); })).first;
    }
    return *found->second;
}

auto gateway_context::roundRobinOf(const route& used) -> weighted_round_robin&
{
    auto found = roundRobins.find(used.name);
    if (found == roundRobins.end() || !found->second.matches(used.services))
        found = roundRobins.insert_or_assign(used.name, weighted_round_robin(used.services, random.unit())).first;
    return found->second;
}

} // namespace gypsumhub
