#include "gypsumhub/main/fleet_driver.h"

#include "gypsumhub/core/clock.h"
#include "gypsumhub/fleet/registered_node.h"
#include "gypsumhub/operator/log_event.h"

#include <utility>

namespace gypsumhub {

namespace {

    auto isHistoryFault(result_code code) -> bool
    {
        return code == result_code::ConfigurationForked || code == result_code::ConfigurationRolledBack;
    }

    auto logRefusal(std::string_view source, const std::string& reason) -> void
    {
        auto fields = boost::json::object {};
        fields["source"] = source;
        fields["reason"] = reason;
        logEvent(google::GLOG_ERROR, "revision-refused", std::move(fields));
    }

} // namespace

fleet_driver::fleet_driver(
    const fleet_driver_settings& settings, control_thread& control, store& source, peer_sender& sender, fleet_effects effects)
    : m_control(control)
    , m_store(source)
    , m_effects(std::move(effects))
    , m_readerSettings(settings.reader)
    , m_config([this](const std::shared_ptr<const configuration>& next) { takeConfiguration(next); })
    , m_node(settings.members, settings.replicator, m_config, sender, *this)
    , m_evidence({ settings.members.self }, m_node.members(), sender)
{
}

auto fleet_driver::start() -> void
{
    m_reader.emplace(m_readerSettings, m_store, static_cast<store_reader_host&>(*this));
}

auto fleet_driver::tick() -> void
{
    m_node.tick(steadyClockNow());
    m_evidence.tick(steadyClockNow());
    refreshFlags();
}

auto fleet_driver::refreshFlags() -> void
{
    m_ready.store(m_node.isReady(), std::memory_order_relaxed);
    m_wantsStore.store(m_node.shouldReadStore(steadyClockNow()), std::memory_order_relaxed);
}

auto fleet_driver::announceShutdown() -> void
{
    m_node.announceShutdown(steadyClockNow());
}

auto fleet_driver::onMessage(node_key sender, const peer_message& message) -> bool
{
    if (auto items = std::get_if<evidence_message>(&message)) {
        m_effects.decide(m_evidence.handle(sender, *items));
        return true;
    }
    return m_node.handle(sender, message, steadyClockNow());
}

auto fleet_driver::onContact(node_key peer) -> void
{
    m_node.handlePeerConnected(peer);
}

auto fleet_driver::sendEvidence(const send_evidence_command& command) -> void
{
    m_evidence.add(command, steadyClockNow());
}

auto fleet_driver::isReady() const -> bool
{
    return m_ready.load(std::memory_order_relaxed);
}

auto fleet_driver::isStoreReachable() const -> bool
{
    return m_storeReachable.load(std::memory_order_relaxed);
}

auto fleet_driver::figures() const -> std::vector<fleet_metric>
{
    return fleetMetrics(m_node, m_config.current(), steadyClockNow());
}

auto fleet_driver::members() const -> const membership&
{
    return m_node.members();
}

auto fleet_driver::replicator() const -> const configuration_replicator&
{
    return m_node.replicator();
}

auto fleet_driver::config() const -> const verified_configuration&
{
    return m_config;
}

auto fleet_driver::refusedStoreRevisions() const -> uint64_t
{
    return m_refused.load(std::memory_order_relaxed);
}

auto fleet_driver::onMembership(const membership_event& event) -> void
{
    refreshFlags();
    m_effects.decide(event);
}

auto fleet_driver::onPeerLost(const peer_lost_event& event) -> void
{
    m_effects.decide(event);
}

auto fleet_driver::onRevisionAdopted(const revision_id&) -> void
{
    // The configuration's listener has already put it in force.
    refreshFlags();
}

auto fleet_driver::onRevisionRefused(result_code code, const revision_id& revision, node_key) -> void
{
    logRefusal("peer", std::string(describe(code).name) + ": revision " + std::to_string(revision.number));
}

auto fleet_driver::takeConfiguration(const std::shared_ptr<const configuration>& next) -> void
{
    m_held.store(m_config.revision());
    m_effects.configured(next);
    m_node.setNodes(registeredNodes(*next), steadyClockNow());
}

auto fleet_driver::shouldReadStore() -> bool
{
    return m_wantsStore.load(std::memory_order_relaxed);
}

auto fleet_driver::heldRevision() -> std::shared_ptr<const config_revision>
{
    return m_held.load();
}

auto fleet_driver::onStoreRevision(std::shared_ptr<const config_revision> revision, const revision_id& held) -> void
{
    m_storeReachable.store(true, std::memory_order_relaxed);
    m_control.post([this, revision = std::move(revision), held] { adopt(revision, held); });
}

auto fleet_driver::adopt(const std::shared_ptr<const config_revision>& revision, const revision_id& held) -> void
{
    // An empty store says nothing about what is in force.
    if (!revision)
        return;
    leaf::try_handle_all(
        [&]() -> leaf::result<void> {
            BOOST_LEAF_AUTO(isNew, m_config.adopt(revision, held));
            if (isNew)
                m_node.announceRevision(steadyClockNow());
            else
                m_node.confirmRevision();
            refreshFlags();
            return {};
        },
        [this](const fault_list& list) {
            for (auto& entry : list.faults)
                onStoreFault(entry);
        },
        [] { logRefusal("store", "the revision cannot be taken"); });
}

auto fleet_driver::onStoreFault(const fault& entry) -> void
{
    if (isHistoryFault(entry.code)) {
        m_refused.fetch_add(1, std::memory_order_relaxed);
        logRefusal("store", toString(entry));
        return;
    }
    // Told once an outage, not once a try.
    if (m_storeReachable.exchange(false))
        logEvent(google::GLOG_WARNING, "store-unreachable", { { "reason", toString(entry) } });
}

} // namespace gypsumhub
