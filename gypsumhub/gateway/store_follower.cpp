#include "gypsumhub/gateway/store_follower.h"

#include "gypsumhub/config/section_reader.h"
#include "gypsumhub/core/clock.h"
#include "gypsumhub/core/hash.h"
#include "gypsumhub/platform/configuration_document.h"
#include "gypsumhub/platform/kv_client.h"
#include "gypsumhub/platform/registration_document.h"
#include "gypsumhub/platform/wire_names.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace gypsumhub {

namespace {

    namespace json = boost::json;

    constexpr auto nodePrefix = std::string_view { "gypsumhub/nodes/" };
    constexpr auto callLimit = milliseconds(1500);
    constexpr auto peerCallLimit = milliseconds(400);
    // A waiting watch costs a call whenever it ends.
    constexpr auto longWait = seconds(29);
    constexpr auto targetWait = milliseconds(1000);
    // Targets report about every second and a half, so that a watch ends at once; this bounds the calls.
    constexpr auto targetPause = milliseconds(700);
    // Nodes come and go together; one call takes them all.
    constexpr auto nodePause = milliseconds(2000);
    constexpr auto checkPause = milliseconds(200);
    constexpr auto retryPause = milliseconds(150);
    constexpr auto leaseLength = seconds(8);
    constexpr auto leaseRenewal = milliseconds(2600);
    // One differing view may be a datagram under way; two in a row are a lost one.
    constexpr auto differencesBeforeReading = 2U;

    auto formatNode(const node_registration& node) -> std::string
    {
        return json::serialize(json::object { { "data_centre", node.dataCentre }, { "caller_address", formatEndpoint(node.callerAddress) },
            { "peer_address", formatEndpoint(node.peerAddress) }, { "store_delay", std::to_string(node.storeDelay.milliseconds()) + "ms" } });
    }

    auto parseNode(const store_entry& entry) -> std::optional<node_registration>
    {
        auto error = error_code {};
        auto value = json::parse(entry.value, error);
        auto* object = error ? nullptr : value.if_object();
        if (!object)
            return std::nullopt;
        auto textOf = [&](std::string_view name) {
            auto* field = object->if_contains(name);
            return field && field->is_string() ? std::string(field->as_string()) : std::string {};
        };
        auto caller = parseEndpoint(textOf("caller_address"));
        auto peer = parseEndpoint(textOf("peer_address"));
        if (!caller || !peer)
            return std::nullopt;
        return node_registration { entry.key.substr(nodePrefix.size()), textOf("data_centre"), *caller, *peer, parseDuration(textOf("store_delay")).value_or(duration {}) };
    }

    auto textOf(const fault_list& list) -> std::string
    {
        auto text = std::string {};
        for (auto& fault : list.faults)
            text += (text.empty() ? "" : "; ") + fault.message;
        return text;
    }

} // namespace

store_follower::store_follower(gateway_context& context, keyspace& store, listeners listeners)
    : m_context(context)
    , m_store(store)
    , m_listeners(std::move(listeners))
{
}

auto store_follower::start() -> void
{
    for (auto loop : { &store_follower::followConfiguration, &store_follower::followTargets, &store_follower::followNodes, &store_follower::keepRegistration })
        asio::co_spawn(m_context.io.get_executor(), (this->*loop)(), asio::detached);
}

auto store_follower::pause(duration length) -> task<>
{
    auto timer = steady_timer(m_context.io.get_executor());
    // Spread, so that nodes that failed together do not come back together.
    auto spread = duration { static_cast<int64_t>(static_cast<double>(length.ns) * (0.75 + 0.5 * m_context.random.unit())) };
    co_await sleepUntil(timer, bootClockNow() + spread);
}

auto store_follower::noteStore(std::string_view what, keyspace_status status) -> bool
{
    auto isAnswered = status != keyspace_status::Unanswered && status != keyspace_status::Refused;
    if (!isAnswered) {
        ++m_context.counters.storeFailures;
        m_context.view.noteTrouble(bootClockNow());
    }
    if (isAnswered == m_isLost) {
        m_isLost = !isAnswered;
        m_context.log.write(log_class::Notable, m_isLost ? "store_lost" : "store_regained", { { "call", what }, { "status", static_cast<int>(status) } });
    }
    return status == keyspace_status::Ok;
}

auto store_follower::readConfiguration() -> task<uint64_t>
{
    auto listed = co_await m_store.list(std::string(wire_names::configurationKey), bootClockNow() + callLimit);
    if (!noteStore("configuration", listed.status))
        co_return 0;
    for (auto& entry : listed.value.entries)
        takeConfiguration(entry);
    co_return listed.value.revision;
}

auto store_follower::followConfiguration() -> task<>
{
    auto key = std::string(wire_names::configurationKey);
    for (auto revision = uint64_t { 0 };;) {
        if (m_context.routes && !m_context.roster.watchesConfiguration(bootClockNow())) {
            // Another node watches for this one; its hello tells of a newer version.
            revision = 0;
            co_await pause(checkPause);
            continue;
        }
        if (revision == 0) {
            revision = co_await readConfiguration();
            if (revision == 0)
                co_await pause(retryPause);
            continue;
        }
        auto followed = co_await m_store.follow(key, revision, bootClockNow() + longWait);
        if (noteStore("configuration", followed.status)) {
            revision = followed.value.revision;
            for (auto& change : followed.value.changes)
                takeConfiguration(change.entry);
        } else {
            revision = 0;
            co_await pause(retryPause);
        }
    }
}

auto store_follower::listAt(std::string node, std::string prefix) -> task<keyspace_result<key_listing>>
{
    if (auto* peer = m_context.roster.find(node)) {
        auto client = kv_client(m_context.io, peer->peerAddress);
        auto listed = co_await client.list(prefix, bootClockNow() + peerCallLimit);
        if (listed.status == keyspace_status::Ok)
            co_return listed;
        m_context.log.write(log_class::Notable, "peer_list_failed", { { "node", node }, { "prefix", prefix } });
    }
    auto listed = co_await m_store.list(prefix, bootClockNow() + callLimit);
    noteStore("catch_up", listed.status);
    co_return listed;
}

auto store_follower::catchUpConfiguration(std::string from) -> task<>
{
    m_isCatchingUp = true;
    auto listed = co_await listAt(from, std::string(wire_names::configurationKey));
    if (listed.status == keyspace_status::Ok) {
        for (auto& entry : listed.value.entries)
            takeConfiguration(entry);
    } else
        co_await pause(retryPause);
    m_isCatchingUp = false;
}

auto store_follower::catchUpNodes(std::string from) -> task<>
{
    m_isCatchingUpNodes = true;
    auto listed = co_await listAt(from, std::string(nodePrefix));
    if (listed.status == keyspace_status::Ok)
        takeNodes(listed.value);
    else
        co_await pause(retryPause);
    m_isCatchingUpNodes = false;
}

auto store_follower::takeConfiguration(const store_entry& entry) -> void
{
    if (entry.key != wire_names::configurationKey)
        return;
    auto known = m_context.routes ? m_context.routes->version() : 0;
    leaf::try_handle_all(
        [&]() -> leaf::result<void> {
            BOOST_LEAF_AUTO(table, readConfigurationDocument(entry.value));
            if (table->version() <= known)
                return {};
            m_context.log.write(log_class::Notable, "configuration_taken",
                { { "version", table->version() }, { "before", known }, { "revision", entry.modRevision }, { "routes", table->routes().size() } });
            m_context.routes = table;
            m_configuration = entry;
            m_listeners.progress();
            return {};
        },
        [&](const fault_list& faults) {
            m_context.log.write(log_class::Notable, "configuration_refused",
                { { "key", entry.key }, { "revision", entry.modRevision }, { "reason", textOf(faults) }, { "in_force", known } });
        },
        [&] {
            m_context.log.write(log_class::Notable, "configuration_refused", { { "key", entry.key }, { "revision", entry.modRevision }, { "in_force", known } });
        });
}

auto store_follower::readEntry(const store_entry& entry) -> std::optional<target_registration>
{
    return leaf::try_handle_all(
        [&]() -> leaf::result<std::optional<target_registration>> {
            BOOST_LEAF_AUTO(read, readRegistrationDocument(entry, bootClockNow()));
            return std::optional(read);
        },
        [&](const fault_list& faults) -> std::optional<target_registration> {
            m_context.log.write(log_class::Notable, "registration_refused", { { "key", entry.key }, { "revision", entry.modRevision }, { "reason", textOf(faults) } });
            return std::nullopt;
        },
        [&]() -> std::optional<target_registration> { return std::nullopt; });
}

auto store_follower::followTargets() -> task<>
{
    for (;;) {
        auto now = bootClockNow();
        auto isReader = m_context.roster.isReader(now);
        if (!isReader && !m_mustList) {
            // Another node reads for this one; what was read here grows old.
            m_targetRevision = 0;
            co_await pause(checkPause);
            continue;
        }
        auto isRead = false;
        if (m_targetRevision == 0 || m_mustList)
            isRead = co_await readTargets();
        else
            isRead = co_await readTargetChanges();
        co_await pause(isRead ? targetPause : retryPause);
    }
}

auto store_follower::readTargets() -> task<bool>
{
    auto listed = co_await m_store.list(std::string(wire_names::targetPrefix), bootClockNow() + callLimit);
    if (!noteStore("registrations", listed.status))
        co_return false;
    auto targets = std::vector<target_registration> {};
    for (auto& entry : listed.value.entries) {
        if (auto read = readEntry(entry))
            targets.push_back(std::move(*read));
    }
    m_targetRevision = listed.value.revision;
    m_context.viewConfirmedAt = bootClockNow();
    m_mustList = false;
    m_differences = 0;
    auto changes = m_context.view.replace(targets, listed.value.revision, bootClockNow());
    apply(changes);
    m_listeners.spread(changes);
    m_hasTargets = true;
    m_listeners.progress();
    co_return true;
}

auto store_follower::readTargetChanges() -> task<bool>
{
    auto followed = co_await m_store.follow(std::string(wire_names::targetPrefix), m_targetRevision, bootClockNow() + targetWait);
    if (!noteStore("registrations", followed.status)) {
        m_targetRevision = 0;
        co_return false;
    }
    m_targetRevision = followed.value.revision;
    m_context.viewConfirmedAt = bootClockNow();
    auto changes = std::vector<view_change> {};
    for (auto& event : followed.value.changes) {
        auto change = std::optional<view_change> {};
        auto read = event.isRemoval ? std::nullopt : readEntry(event.entry);
        if (read)
            change = m_context.view.put(*read);
        else if (event.isRemoval)
            change = m_context.view.remove(targetIdOf(event.entry.key), event.entry.modRevision, bootClockNow());
        if (change)
            changes.push_back(std::move(*change));
    }
    apply(changes);
    m_listeners.spread(changes);
    co_return true;
}

auto store_follower::apply(std::span<const view_change> changes) -> void
{
    auto now = bootClockNow();
    for (auto& change : changes) {
        auto& entry = change.registration;
        if (change.isRemoval) {
            m_context.board.remove(entry.id);
            m_context.links.removeTarget(entry.id);
        } else
            m_context.board.put(entry, now, m_hasTargets);
        auto what = change.isRemoval ? "target_removed" : entry.isDraining ? "target_draining"
                                                                           : "target_registered";
        m_context.log.write(log_class::Notable, what,
            { { "target", entry.id }, { "service", entry.service }, { "revision", entry.revision }, { "incarnation", entry.incarnation } });
        m_context.lane(entry.service).pump();
    }
}

auto store_follower::takeChanges(std::span<const view_change> told) -> void
{
    auto changes = std::vector<view_change> {};
    for (auto& change : told) {
        auto& entry = change.registration;
        auto taken = change.isRemoval ? m_context.view.remove(entry.id, entry.revision, bootClockNow()) : m_context.view.put(entry);
        if (taken)
            changes.push_back(std::move(*taken));
    }
    apply(changes);
    // The first node of a distant data centre passes on what it is fed.
    if (m_context.roster.isFedFromAfar(bootClockNow()) || m_context.roster.isReader(bootClockNow()))
        m_listeners.spread(changes);
}

auto store_follower::takeHello(const node_hello& hello) -> void
{
    auto now = bootClockNow();
    if (m_context.routes && hello.configurationVersion > m_context.routes->version() && !m_isCatchingUp)
        asio::co_spawn(m_context.io.get_executor(), catchUpConfiguration(hello.name), asio::detached);
    auto* reader = m_context.roster.reader(now);
    if (!reader || reader->name != hello.name)
        return;
    m_nodeDifferences = hello.nodesDigest == nodesDigest() ? 0 : m_nodeDifferences + 1;
    if (m_nodeDifferences >= differencesBeforeReading && !m_isCatchingUpNodes) {
        m_nodeDifferences = 0;
        asio::co_spawn(m_context.io.get_executor(), catchUpNodes(hello.name), asio::detached);
    }
    if (hello.viewDigest == m_context.view.digest()) {
        m_differences = 0;
        m_context.viewConfirmedAt = std::max(m_context.viewConfirmedAt, now - hello.viewAge);
    } else if (++m_differences >= differencesBeforeReading)
        m_mustList = true;
}

auto store_follower::tick() -> void
{
    auto changes = m_context.view.takeRemovals(bootClockNow());
    if (changes.empty())
        return;
    apply(changes);
    if (m_context.roster.isReader(bootClockNow()))
        m_listeners.spread(changes);
}

auto store_follower::takeNode(const store_entry& entry) -> void
{
    m_nodes[entry.key] = entry;
    if (auto node = parseNode(entry))
        m_context.roster.noteRegistered(*node, bootClockNow());
    else
        m_context.log.write(log_class::Notable, "node_refused", { { "key", entry.key }, { "revision", entry.modRevision } });
}

auto store_follower::takeNodes(const key_listing& listing) -> void
{
    auto gone = m_nodes;
    for (auto& entry : listing.entries) {
        gone.erase(entry.key);
        takeNode(entry);
    }
    for (auto& [key, entry] : gone) {
        m_nodes.erase(key);
        m_context.roster.noteUnregistered(key.substr(nodePrefix.size()), bootClockNow());
    }
}

auto store_follower::readNodes() -> task<uint64_t>
{
    auto listed = co_await m_store.list(std::string(nodePrefix), bootClockNow() + callLimit);
    if (!noteStore("nodes", listed.status))
        co_return 0;
    takeNodes(listed.value);
    co_return listed.value.revision;
}

auto store_follower::followNodes() -> task<>
{
    auto prefix = std::string(nodePrefix);
    for (auto revision = uint64_t { 0 };;) {
        if (!m_nodes.empty() && !m_context.roster.isReader(bootClockNow())) {
            revision = 0;
            co_await pause(checkPause);
            continue;
        }
        if (revision == 0) {
            revision = co_await readNodes();
            co_await pause(nodePause);
            continue;
        }
        auto followed = co_await m_store.follow(prefix, revision, bootClockNow() + longWait);
        if (noteStore("nodes", followed.status)) {
            revision = followed.value.revision;
            for (auto& change : followed.value.changes) {
                if (!change.isRemoval)
                    takeNode(change.entry);
                else if (m_nodes.erase(change.entry.key) > 0)
                    m_context.roster.noteUnregistered(change.entry.key.substr(prefix.size()), bootClockNow());
            }
        } else
            revision = 0;
        co_await pause(nodePause);
    }
}

auto store_follower::listFor(std::string_view prefix) const -> std::optional<key_listing>
{
    auto listing = key_listing {};
    if (prefix == wire_names::configurationKey) {
        if (m_context.routes)
            listing.entries.push_back(m_configuration);
    } else if (prefix == nodePrefix) {
        for (auto& [key, entry] : m_nodes)
            listing.entries.push_back(entry);
    } else
        return std::nullopt;
    return listing;
}

auto store_follower::nodesDigest() const -> uint64_t
{
    auto sum = uint64_t { 0 };
    for (auto& [key, entry] : m_nodes)
        sum += mixHashes(hashName(key), entry.modRevision);
    return sum;
}

auto store_follower::keepRegistration() -> task<>
{
    auto isRegistered = false;
    while (!m_context.isStopping) {
        if (m_lease == 0) {
            auto granted = co_await m_store.grantLease(std::max(leaseLength, m_context.settings.shortestLease), bootClockNow() + callLimit);
            if (noteStore("lease", granted.status))
                m_lease = granted.value;
            isRegistered = false;
        }
        if (m_lease != 0 && !isRegistered) {
            auto key = std::string(nodePrefix) + m_context.settings.name;
            m_context.roster.setStoreDelay(m_store.leastDelay());
            auto status = co_await m_store.put(std::move(key), formatNode(m_context.roster.own()), m_lease, bootClockNow() + callLimit);
            isRegistered = noteStore("registration", status);
            if (status == keyspace_status::LeaseGone)
                m_lease = 0;
        }
        if (!isRegistered) {
            co_await pause(retryPause);
            continue;
        }
        co_await pause(leaseRenewal);
        auto status = co_await m_store.renewLease(m_lease, bootClockNow() + callLimit);
        noteStore("renewal", status);
        if (status == keyspace_status::LeaseGone)
            m_lease = 0;
    }
}

auto store_follower::unregister() -> void
{
    if (m_lease == 0)
        return;
    asio::co_spawn(
        m_context.io.get_executor(),
        [this]() -> task<> {
            auto status = co_await m_store.endLease(m_lease, bootClockNow() + callLimit);
            noteStore("unregister", status);
        },
        asio::detached);
}

} // namespace gypsumhub
