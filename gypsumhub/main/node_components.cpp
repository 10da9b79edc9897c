#include "gypsumhub/main/node_components.h"

#include "gypsumhub/core/clock.h"
#include "gypsumhub/core/hash.h"
#include "gypsumhub/main/node_report.h"
#include "gypsumhub/operator/log_event.h"

#include <algorithm>
#include <boost/json/serialize.hpp>

namespace gypsumhub {

namespace {

    constexpr auto controlCallLimit = seconds(1);
    constexpr auto drainInterval = milliseconds(10);

    auto makeDecisionSettings(const node_settings& settings, time_point startedAt) -> decision_settings
    {
        auto result = decision_settings { { hashName(settings.name) }, settings.dataCentre };
        result.seed = mixHashes(result.self.value, static_cast<uint64_t>(startedAt.ns));
        return result;
    }

    auto makeClaimSettings(const node_settings& settings, time_point startedAt) -> claim_coordinator::settings
    {
        auto result = claim_coordinator::settings { { hashName(settings.name) } };
        result.incarnation = static_cast<uint64_t>(startedAt.ns);
        return result;
    }

    auto makeStoreSettings(const node_settings& settings) -> etcd_store::settings
    {
        auto result = etcd_store::settings { settings.storeAddresses };
        result.seed = hashName(settings.name);
        return result;
    }

    auto makeProxySettings(const node_settings& settings, time_point startedAt) -> proxy_server_settings
    {
        auto result = proxy_server_settings { { hashName(settings.name) }, settings.callerAddress };
        result.requestThreads = settings.requestThreads;
        result.maxConnections = settings.maxConnections;
        result.maxHeaderBytes = settings.maxHeaderBytes;
        result.maxBodyBytes = settings.maxBodyBytes;
        result.bufferedAnswerBytes = settings.bufferedAnswerBytes;
        result.requestReadLimit = settings.requestReadLimit;
        result.answerLifetime = settings.answerLifetime;
        result.spanLog = settings.spanLog;
        result.seed = mixHashes(result.self.value, static_cast<uint64_t>(startedAt.ns));
        return result;
    }

    auto makeFleetSettings(const node_settings& settings, time_point startedAt) -> fleet_driver_settings
    {
        auto result = fleet_driver_settings {};
        auto self = node_key { hashName(settings.name) };
        auto seed = mixHashes(self.value, static_cast<uint64_t>(startedAt.ns));
        result.members.self = self;
        result.members.incarnation = static_cast<uint64_t>(startedAt.ns);
        result.members.seed = seed;
        result.replicator.self = self;
        result.replicator.seed = seed;
        result.replicator.hasSeeds = !settings.seedPeers.empty();
        result.reader.seed = seed;
        return result;
    }

    auto makeTransportSettings(const node_settings& settings, time_point startedAt) -> peer_transport_settings
    {
        auto result = peer_transport_settings { { hashName(settings.name) } };
        result.incarnation = static_cast<uint64_t>(startedAt.ns);
        result.listenAddress = settings.peerAddress;
        result.keys = settings.peerKeys;
        result.seed = result.incarnation;
        return result;
    }

} // namespace

node_components::node_components(const node_settings& settings)
    : m_settings(settings)
    , m_self { hashName(settings.name) }
    , m_startedAt(wallClockNow())
    , m_snapshot(std::make_shared<routing_snapshot>())
    , m_store(makeStoreSettings(settings))
    , m_decision(makeDecisionSettings(settings, m_startedAt), m_snapshot, makeDecisionEffects())
    , m_claims(control, makeClaimSettings(settings, m_startedAt), *this)
    , m_fleet(makeFleetSettings(settings, m_startedAt), control, m_store, *this, makeFleetEffects())
    , m_healthChecks(control.context(), [this](const attempt_report& report) { m_decision.handle(attempt_event { report }); })
    , m_proxy(makeProxySettings(settings, m_startedAt), m_snapshot, m_inbox, m_claims)
    , m_admin({ settings.operatorAddress }, *this)
{
    registerTimers();
}

node_components::~node_components() = default;

auto node_components::makeDecisionEffects() -> decision_effects
{
    return {
        .startHealthCheck = [this](auto& command) { m_healthChecks.start(command); },
        .sendEvidence = [this](auto& command) { m_fleet.sendEvidence(command); },
        .closeIdleConnections = [this](vm_key target) { m_proxy.closeIdleConnections(target); },
        .stateChanged = [this](auto& command) { logStateChange(command); },
    };
}

auto node_components::makeFleetEffects() -> fleet_effects
{
    return {
        .decide = [this](auto& event) { m_decision.handle(event); },
        .configured = [this](std::shared_ptr<const configuration> next) { applyConfiguration(std::move(next)); },
    };
}

auto node_components::registerTimers() -> void
{
    control.runEvery(tickInterval, [this] { m_fleet.tick(); });
    control.runEvery(drainInterval, [this] { drainAttempts(); });
    control.runEvery(tickInterval, [this] { m_decision.handle(tick_event {}); });
    control.runEvery(claim_coordinator::resendInterval, [this] { m_claims.tick(); });
}

auto node_components::start() -> leaf::result<void>
{
    BOOST_LEAF_ASSIGN(m_transport, peer_transport::start(makeTransportSettings(m_settings, m_startedAt), *this, m_meter));
    BOOST_LEAF_CHECK(m_admin.start());
    BOOST_LEAF_CHECK(m_proxy.start());
    startExternalInputs();
    control.start();
    return {};
}

auto node_components::startExternalInputs() -> void
{
    m_transport->connectToSeeds(m_settings.seedPeers);
    m_fleet.start();
    if (!m_settings.vmListAddress.port)
        return;
    auto listSettings = vm_list_poller_settings { m_settings.vmListAddress };
    listSettings.seed = m_self.value;
    m_listPoller.emplace(listSettings, [this](vm_list_event event) {
        control.post([this, event = std::move(event)] { m_decision.handle(event); });
    });
}

auto node_components::beginShutdown() -> void
{
    if (m_stopping.exchange(true))
        return;
    logEvent(google::GLOG_INFO, "stopping", {});
    m_fleet.announceShutdown();
    m_claims.sendAllRecords();
    m_proxy.beginShutdown(wallClockNow() + m_settings.stopLimit);
}

auto node_components::join() -> void
{
    m_proxy.join();
}

auto node_components::drainAttempts() -> void
{
    m_inbox.drain([this](const attempt_report& report) { m_decision.handle(attempt_event { report }); });
}

auto node_components::applyConfiguration(std::shared_ptr<const configuration> next) -> void
{
    auto fields = boost::json::object {};
    fields["revision"] = next->revision.number;
    fields["hash"] = toHex(next->revision.hash);
    logEvent(google::GLOG_INFO, "configuration-in-force", std::move(fields));
    m_transport->setPeers(peerAddresses(*next, m_self));
    m_claims.configure(*next);
    if (m_listPoller)
        m_listPoller->setFleetSize(next->nodes.size());
    m_decision.handle(configuration_event { std::move(next) });
}

auto node_components::logStateChange(const state_change_command& command) -> void
{
    auto fields = boost::json::object {};
    auto snapshot = m_snapshot.load();
    if (auto view = snapshot->findService(command.service)) {
        fields["service"] = view->spec->name;
        for (auto& target : view->spec->targets) {
            if (target.key == command.target)
                fields["vm"] = target.name;
        }
    }
    fields["from"] = toString(command.from);
    fields["to"] = toString(command.to);
    fields["reason"] = command.reason;
    logEvent(google::GLOG_INFO, "target-state", std::move(fields));
}

auto node_components::onPeerMessage(node_key sender, peer_message message) -> void
{
    control.post([this, sender, message = std::move(message)] {
        if (m_fleet.onMessage(sender, message))
            return;
        auto handle = [&](auto& concrete) {
            if constexpr (std::is_constructible_v<claim_peer_message, decltype(concrete)>)
                m_claims.onMessage(sender, concrete);
        };
        std::visit(handle, message);
    });
}

auto node_components::onPeerConnected(node_key peer) -> void
{
    control.post([this, peer] { m_fleet.handlePeerConnected(peer); });
}

auto node_components::send(node_key receiver, peer_message message) -> void
{
    if (m_transport)
        m_transport->send(receiver, std::move(message));
}

auto node_components::isReady() -> bool
{
    return !m_stopping && m_fleet.isReady() && m_snapshot.load()->config != nullptr;
}

auto node_components::statusJson() -> std::string
{
    auto snapshot = m_snapshot.load();
    auto status = boost::json::object {};
    status["node"] = m_settings.name;
    status["dataCentre"] = m_settings.dataCentre;
    status["ready"] = isReady();
    status["stopping"] = m_stopping.load();
    status["revision"] = snapshot->config ? snapshot->config->revision.number : 0;
    status["revisionHash"] = snapshot->config ? toHex(snapshot->config->revision.hash) : std::string {};
    status["storeReachable"] = m_fleet.isStoreReachable();
    status["services"] = servicesJson(*snapshot);
    return boost::json::serialize(status);
}

auto node_components::explain(std::string_view serviceOrVm) -> std::string
{
    auto snapshot = m_snapshot.load();
    auto name = std::string(serviceOrVm);
    auto work = [this, snapshot, name]() -> std::string {
        if (snapshot->findService({ hashName(name) }))
            return m_decision.core().explain({ hashName(name) }, wallClockNow());
        // The output of `explain` has one line per target, which starts with the VM's name.
        for (auto& view : snapshot->services) {
            auto isTarget = [&](auto& target) { return target.name == name; };
            if (!std::ranges::any_of(view.spec->targets, isTarget))
                continue;
            auto text = m_decision.core().explain(view.spec->key, wallClockNow());
            auto start = text.find(name);
            return start == std::string::npos ? std::string {} : text.substr(start, text.find('\n', start) - start) + "\n";
        }
        return {};
    };
    return control.runAndWait<std::string>(work, controlCallLimit).value_or("the control thread is busy\n");
}

auto node_components::metricsText() -> std::string
{
    auto snapshot = m_snapshot.load();
    // Shared, because the work may run after this call has timed out.
    auto metrics = std::make_shared<metric_set>();
    auto work = [this, snapshot, metrics]() -> bool {
        addFleetMetrics(*metrics, m_fleet.metrics());
        addDecisionMetrics(*metrics, *snapshot, m_decision);
        return true;
    };
    if (!control.runAndWait<bool>(work, controlCallLimit))
        metrics = std::make_shared<metric_set>();
    addProxyMetrics(*metrics, m_proxy.counters());
    metrics->addGauge("ready", "1 if the node is ready to serve callers.", isReady());
    metrics->addCounter("attempt_reports_dropped_total", "Attempt reports dropped because the control thread was too slow.", static_cast<double>(m_inbox.dropped()));
    metrics->addCounter("control_cpu_seconds_total", "CPU time of the control thread.", control.cpuTime().seconds());
    if (m_transport)
        addFleetMetrics(*metrics, peerMetrics(m_transport->counts(), m_meter));
    metrics->addCounter("control_bytes_sent_total", "Bytes sent to peers, including overhead.", static_cast<double>(m_meter.totalBytes()));
    return metrics->toText();
}

} // namespace gypsumhub
