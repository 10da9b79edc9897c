#include "gypsumhub/gateway/gateway_node.h"

#include "gypsumhub/config/gateway_settings_reader.h"
#include "gypsumhub/core/clock.h"
#include "gypsumhub/core/reload_signal.h"
#include "gypsumhub/gateway/caller_connection.h"
#include "gypsumhub/gateway/failure_guard.h"
#include "gypsumhub/platform/directory_document.h"
#include "gypsumhub/platform/wire_names.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <csignal>

namespace gypsumhub {

namespace {

    // Interval at which stalls, waiting requests and logs are processed, with and without open requests.
    constexpr auto busyTick = milliseconds(50);
    constexpr auto idleTick = milliseconds(250);
    constexpr auto helloInterval = milliseconds(400);
    constexpr auto sweepInterval = milliseconds(1000);
    constexpr auto acceptPause = milliseconds(20);
    constexpr auto lastWritesTime = milliseconds(10);
    // Handlers that became due at the same moment run within this time of each other.
    constexpr auto sameTurnTime = milliseconds(20);

} // namespace

gateway_node::gateway_node(gateway_settings settings, std::string settingsFile)
    : m_settingsFile(std::move(settingsFile))
    , m_context(std::move(settings))
    , m_startReport(m_context)
    , m_store(m_context.io, m_context.settings.storeAddress, m_context.buffers)
    , m_watcher(m_context, m_store, { [this](std::span<const view_change> changes) {
        for (auto first = size_t { 0 }; first < changes.size(); first += maxDatagramEntries) {
            auto part = changes.subspan(first, std::min(maxDatagramEntries, changes.size() - first));
            m_peers.send({ m_context.settings.name, std::vector<view_change>(part.begin(), part.end()) }, m_context.memberView.recipients(bootClockNow()));
        } }, [this] {
            m_startReport.update(bootClockNow());
            sendHello(); } })
    , m_peers(m_context.io, [this](std::optional<node_datagram> datagram, std::string_view address) { handleDatagram(std::move(datagram), address); })
    , m_crashes(m_context, [this](const node_datagram& datagram, std::span<const node_registration> receivers) { m_peers.send(datagram, receivers); })
    , m_limits(m_context, [this](const node_datagram& datagram, std::span<const node_registration> receivers) { m_peers.send(datagram, receivers); })
    , m_allowances(m_context, [this](const node_datagram& datagram, std::span<const node_registration> receivers) { m_peers.send(datagram, receivers); })
    , m_leaving(m_context, [this](const node_datagram& datagram) { m_peers.send(datagram, peersInRegion()); })
    , m_confirmations(m_context, { [this](const node_datagram& datagram, std::span<const node_registration> receivers) { m_peers.send(datagram, receivers); }, [this] { m_watcher.confirmConfiguration(); }, [this] { return m_watcher.isWatchingConfiguration(); } })
    , m_paths(m_context, [this] { sendHello(); })
    , m_readiness(m_context.io, m_context.buffers, [this](std::string_view target) { return answerReadiness(target); })
    , m_directory(m_context.io, m_context.buffers, [this](std::string_view target) { return answerDirectory(target); })
    , m_metrics(m_context.io, m_context.buffers, [this](std::string_view) { return http_answer { 200, "text/plain; version=0.0.4", formatGatewayMetrics(m_context, m_store.callCount()) }; })
    , m_peerLists(m_context.io, m_context.buffers, [this](std::string_view target) { return answerPeerListing(target); })
    , m_transferLimit(m_context.settings.size.linkMegabits)
    , m_callers(m_context.io.get_executor())
    , m_signals(m_context.io, SIGTERM, SIGINT, SIGHUP)
    , m_stopTimer(m_context.io.get_executor())
{
    m_context.broadcastOutcomes = [this](std::vector<peer_outcome> outcomes) { m_peers.send({ m_context.settings.name, std::move(outcomes) }, peersInRegion()); };
    m_context.onRequestLost = [this](std::shared_ptr<target_state> target, const request_identity& lost) { m_crashes.checkTarget(std::move(target), lost); };
    m_context.onRequestSucceeded = [this](const request_identity& succeeded) { m_crashes.recordSuccess(succeeded); };
    m_context.onAnswerHead = [this](const target_registration& target, const http::response_header<>& head, time_point sentAt) {
        m_limits.handleAnswer(target, head, sentAt);
        m_leaving.handleAnswer(target, head);
    };
    m_allowances.connect();
    m_context.onConfirmationNeeded = [this] { return m_confirmations.hasten(); };
    m_context.onPermitsNeeded = [this] { m_limits.requestPermits(); };
}

auto gateway_node::run() -> leaf::result<void>
{
    std::signal(SIGPIPE, SIG_IGN);
    waitForSignal();
    unblockReloadSignal();
    asio::co_spawn(m_context.io.get_executor(), start(), asio::detached);
    // After an exception of a timer's or a socket's handler, the loop goes on with the next one.
    while (!callGuarded(m_context, "event_loop", [this] { m_context.io.run(); })) { }
    if (m_startFault)
        return failWith(*m_startFault);
    m_context.log.write(log_class::Final, "stopped", { { "node", m_context.settings.name }, { "open_requests", m_context.openRequests }, { "cut", m_context.unanswered.count() }, { "undelivered_answers", m_context.counters.undeliveredAnswers } });
    m_context.log.flush();
    return {};
}

auto gateway_node::start() -> task<>
{
    auto opener = address_opener(m_context);
    auto steps = addressSteps();
    for (auto& step : steps) {
        auto fault = co_await opener.run(step);
        m_startFault = std::move(fault);
        if (m_startFault || m_context.shutdown.hasBegun()) {
            m_context.io.stop();
            co_return;
        }
    }
    m_context.log.write(log_class::Notable, "started", { { "node", m_context.settings.name }, { "data_centre", m_context.settings.dataCentre } });
    m_startReport.recordAddresses(bootClockNow());
    m_watcher.start();
    m_confirmations.start();
    asio::co_spawn(m_context.io.get_executor(), acceptCallers(), asio::detached);
    asio::co_spawn(m_context.io.get_executor(), tick(), asio::detached);
}

auto gateway_node::addressSteps() -> std::vector<address_step>
{
    auto& settings = m_context.settings;
    auto hasMetrics = settings.metricsAddress.port != 0;
    auto steps = std::vector<address_step> {};
    auto add = [&](std::string_view setting, const endpoint& address, std::function<error_code()> open) { steps.push_back({ setting, address, std::move(open) }); };
    // All addresses are taken before connections are accepted at any of them, so that callers of a node that waits are refused.
    add("caller_address", settings.callerAddress, [this] { return bindListener(m_callers, m_context.settings.callerAddress); });
    add("readiness_address", settings.readinessAddress, [this] { return m_readiness.bind(m_context.settings.readinessAddress); });
    add("directory_address", settings.directoryAddress, [this] { return m_directory.bind(m_context.settings.directoryAddress); });
    if (hasMetrics)
        add("metrics_address", settings.metricsAddress, [this] { return m_metrics.bind(m_context.settings.metricsAddress); });
    add("peer_address", settings.peerAddress, [this] { return m_peerLists.bind(m_context.settings.peerAddress); });
    add("peer_address", settings.peerAddress, [this] { return m_peers.open(m_context.settings.peerAddress); });
    add("caller_address", settings.callerAddress, [this] { return startListening(m_callers); });
    add("readiness_address", settings.readinessAddress, [this] { return m_readiness.listen(); });
    add("directory_address", settings.directoryAddress, [this] { return m_directory.listen(); });
    if (hasMetrics)
        add("metrics_address", settings.metricsAddress, [this] { return m_metrics.listen(); });
    add("peer_address", settings.peerAddress, [this] { return m_peerLists.listen(); });
    return steps;
}

auto gateway_node::acceptCallers() -> task<>
{
    auto timer = steady_timer(m_context.io.get_executor());
    for (;;) {
        auto socket = tcp_socket(m_context.io.get_executor());
        auto [error] = co_await m_callers.async_accept(socket, useTask);
        if (!m_callers.is_open())
            co_return;
        if (error) {
            co_await sleepUntil(timer, bootClockNow() + acceptPause);
            continue;
        }
        callGuarded(m_context, "accept", [&] {
            auto connection = std::make_shared<caller_connection>(m_context, std::move(socket));
            auto serve = [](std::shared_ptr<caller_connection> served) -> task<> { co_await served->run(); };
            spawnGuarded(m_context, "connection", serve(std::move(connection)));
        });
    }
}

auto gateway_node::tick() -> task<>
{
    auto timer = steady_timer(m_context.io.get_executor());
    for (;;) {
        auto now = bootClockNow();
        m_tickDueAt = m_nextTick;
        m_tickRanAt = now;
        callGuarded(m_context, "tick", [&] { processTick(now); });
        m_context.log.flush();
        m_nextTick = now + (m_context.openRequests > 0 ? busyTick : idleTick);
        co_await sleepUntil(timer, m_nextTick);
    }
}

auto gateway_node::processTick(time_point now) -> void
{
    checkStalls(now);
    for (auto& [service, dispatcher] : m_context.dispatchers)
        dispatcher->dispatchWaiting();
    m_watcher.tick();
    m_startReport.update(now);
    m_crashes.tick(now);
    m_limits.tick(now);
    m_allowances.tick(now);
    m_leaving.tick(now);
    m_paths.tick(now);
    if (now >= m_nextHello)
        sendHello();
    if (now >= m_nextSweep) {
        m_context.connections.sweep(now);
        m_context.relayConnections.sweep(now);
        m_nextSweep = now + sweepInterval;
    }
}

auto gateway_node::checkStalls(time_point now) -> void
{
    // `onStall` may end attempts and change the list, so the stalled ones are collected first.
    auto overdue = std::vector<std::pair<std::shared_ptr<target_state>, std::function<void()>>> {};
    for (auto& attempt : m_context.attempts) {
        if (!attempt.target)
            continue;
        auto ofService = attempt.sentAt + m_context.balancer.model(attempt.target->registration.service).stallThreshold();
        if (attempt.isStalled || now < (attempt.stallsAt == time_point {} ? ofService : attempt.stallsAt))
            continue;
        attempt.isStalled = true;
        m_context.pathsTo(attempt.target->registration.service).recordNoAnswer(attempt.target->registration.id, attempt.sentAt, now);
        m_context.recordOutcome(*attempt.target, outcome_kind::Stall, now, true);
        overdue.emplace_back(attempt.target, attempt.onStall);
    }
    for (auto& [target, onStall] : overdue)
        onStall();
}

auto gateway_node::isReady() const -> bool
{
    return m_context.isInitialized() && !m_context.shutdown.hasBegun();
}

auto gateway_node::answerPeerListing(std::string_view target) -> http_answer
{
    auto query = readListingQuery(target);
    auto listing = query ? m_watcher.listFor(*query) : std::nullopt;
    if (!listing)
        return { 404 };
    auto permission = m_transferLimit.acquire(listing->valueBytes());
    if (!permission)
        return { 503 };
    return { 200, "application/json", formatListing(*listing), std::move(permission) };
}

auto gateway_node::peersInRegion() const -> std::vector<node_registration>
{
    // Requests rarely leave their region, so outcomes of its targets are of no use in other regions.
    auto peers = m_context.memberView.peers();
    std::erase_if(peers, [&](auto& peer) { return m_context.regionOf(peer.dataCentre) != m_context.settings.region; });
    return peers;
}

auto gateway_node::sendHello() -> void
{
    auto now = bootClockNow();
    m_nextHello = now + helloInterval;
    m_context.memberView.setOwnState(isReady(), m_context.shutdown.hasBegun());
    auto demands = m_context.demand.demands(now);
    m_context.memberView.setOwnDemands(demands);
    auto lostHosts = m_context.lostHosts();
    m_context.memberView.setOwnLostHosts(lostHosts);
    auto isUnservedReader = m_watcher.isStoreLost() && m_context.memberView.isReader(now);
    auto viewAge = isUnservedReader ? unservedReaderViewAge : now - m_context.viewConfirmedAt;
    auto hello = node_hello { m_context.settings.name, isReady(), m_context.shutdown.hasBegun(), m_context.routes ? m_context.routes->version() : 0,
        m_context.view.digest(), viewAge, m_watcher.nodesDigest(), std::move(demands), std::move(lostHosts), m_watcher.configurationAge(),
        m_context.needsConfirmation() ? m_context.confirmationAge(now) : unconfirmedAge };
    m_peers.send({ m_context.settings.name, hello }, m_context.memberView.recipients(now));
}

auto gateway_node::handleDatagram(std::optional<node_datagram> datagram, std::string_view address) -> void
{
    callGuarded(m_context, "datagram", [&] { applyDatagram(std::move(datagram), address); });
}

auto gateway_node::applyDatagram(std::optional<node_datagram> datagram, std::string_view address) -> void
{
    if (!datagram || !m_context.memberView.isPeerAddress(datagram->sender, address)) {
        ++m_context.counters.badDatagrams;
        return;
    }
    if (auto* hello = std::get_if<node_hello>(&datagram->content)) {
        m_context.memberView.recordHello(*hello, bootClockNow());
        m_watcher.handleHello(*hello);
    } else if (auto* outcomes = std::get_if<std::vector<peer_outcome>>(&datagram->content)) {
        for (auto& outcome : *outcomes)
            m_context.recordPeerOutcome(outcome, datagram->sender);
    } else if (auto* changes = std::get_if<std::vector<view_change>>(&datagram->content))
        m_watcher.handleChanges(*changes);
    else if (auto* leaving = std::get_if<std::vector<leaving_target>>(&datagram->content))
        m_leaving.handleReport(*leaving, datagram->sender);
    else if (confirmation_watcher::handles(*datagram))
        m_confirmations.handleDatagram(*datagram);
    else if (limit_watcher::handles(*datagram))
        m_limits.handleDatagram(*datagram);
    else if (allowance_watcher::handles(*datagram))
        m_allowances.handleDatagram(*datagram);
    else
        m_crashes.handleDatagram(*datagram);
}

auto gateway_node::answerReadiness(std::string_view target) -> http_answer
{
    if (target != wire_names::readinessPath)
        return { 404 };
    return { isReady() ? 200U : 503U };
}

auto gateway_node::answerDirectory(std::string_view target) -> http_answer
{
    auto query = readDirectoryQuery(target);
    if (!query)
        return { 404 };
    auto& settings = m_context.settings;
    m_context.memberView.setOwnState(isReady(), m_context.shutdown.hasBegun());
    auto nodes = m_context.memberView.group(query->host, query->dataCentre, m_context.groupRequirement(), bootClockNow());
    if (nodes.empty())
        return { 503 };
    return { 200, "application/json", formatDirectoryAnswer(nodes, settings.directoryLifetime) };
}

auto gateway_node::waitForSignal() -> void
{
    m_signals.async_wait([this](const error_code& error, int signal) {
        if (error)
            return;
        callGuarded(m_context, "signal", [&] {
            if (signal == SIGHUP)
                reload();
            else
                beginShutdown();
        });
        waitForSignal();
    });
}

auto gateway_node::requestStop() -> void
{
    asio::post(m_context.io, [this] { beginShutdown(); });
}

auto gateway_node::beginShutdown() -> void
{
    if (m_context.shutdown.hasBegun())
        return;
    auto now = bootClockNow();
    // The settings file may have changed without a signal.
    reload();
    // A node that was paused has not run since its tick was due, and the platform may have sent the signal then. It would have killed the
    // node by now if that were longer ago than the limit.
    // After a pause, the overdue tick may run just before the handler of the signal.
    auto hasJustTicked = now < m_tickRanAt + sameTurnTime;
    auto earliest = std::min(now, hasJustTicked ? m_tickDueAt : m_nextTick);
    m_stopSignalledAt = now < earliest + m_context.settings.stopLimit ? earliest : now;
    m_context.shutdown = shutdown_schedule(now, now + m_context.settings.stopLimit, m_context.settings.size.cores);
    m_context.shutdown.bringForward(now, m_stopSignalledAt + m_context.settings.stopLimit);
    m_context.log.write(log_class::Final, "stopping", { { "open_requests", m_context.openRequests }, { "stop_limit_ms", m_context.settings.stopLimit.milliseconds() }, { "late_ms", (now - m_stopSignalledAt).milliseconds() } });
    limitOpenRequests();
    sendHello();
    m_watcher.unregister();
    spawnGuarded(m_context, "shutdown", finishShutdown(), [this] { m_context.io.stop(); });
}

auto gateway_node::limitOpenRequests() -> void
{
    for (auto& [service, dispatcher] : m_context.dispatchers)
        dispatcher->limitWaits(m_context.shutdown.latestDeadline());
    for (auto& attempt : m_context.attempts)
        attempt.connection->limitDeadline(m_context.shutdown.latestDeadline());
    if (m_onStopScheduled)
        m_onStopScheduled(m_context.shutdown.forcedEndAt());
}

auto gateway_node::applyStopLimit(duration limit) -> void
{
    m_context.settings.stopLimit = limit;
    auto& shutdown = m_context.shutdown;
    if (!shutdown.hasBegun())
        return;
    shutdown.bringForward(bootClockNow(), m_stopSignalledAt + limit);
    limitOpenRequests();
    m_stopTimer.cancel();
}

auto gateway_node::finishShutdown() -> task<>
{
    auto& shutdown = m_context.shutdown;
    // The schedule may be brought forward meanwhile.
    while (bootClockNow() < shutdown.stopsReadingAt())
        co_await sleepUntil(m_stopTimer, shutdown.stopsReadingAt());
    // Connections that are not accepted yet are reset: their requests count as not read.
    auto ignored = error_code {};
    m_callers.close(ignored);
    while (bootClockNow() < shutdown.endsAt())
        co_await sleepUntil(m_stopTimer, shutdown.endsAt());
    // Answers that became ready at the same moment, as after a pause, are written first.
    co_await sleepUntil(m_stopTimer, bootClockNow() + lastWritesTime);
    m_context.unanswered.log(m_context.log);
    m_context.counters.undeliveredAnswers += m_context.callers.endAll();
}

auto gateway_node::reload() -> void
{
    leaf::try_handle_all(
        [&]() -> leaf::result<void> {
            BOOST_LEAF_AUTO(read, readGatewaySettings(m_settingsFile));
            // Addresses cannot change while the process runs.
            m_context.settings.directoryLifetime = read.directoryLifetime;
            m_context.settings.directoryNodes = read.directoryNodes;
            m_context.settings.directorySize = read.directorySize;
            applyStopLimit(read.stopLimit);
            m_context.log.write(log_class::Notable, "reloaded", { { "file", m_settingsFile } });
            return {};
        },
        [&](const fault_list& faults) {
            auto reason = faults.faults.empty() ? std::string {} : toString(faults.faults.front());
            m_context.log.write(log_class::Notable, "reload_failed", { { "file", m_settingsFile }, { "reason", reason } });
        },
        [&] { m_context.log.write(log_class::Notable, "reload_failed", { { "file", m_settingsFile } }); });
}

} // namespace gypsumhub
