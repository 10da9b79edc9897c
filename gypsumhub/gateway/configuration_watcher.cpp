#include "gypsumhub/gateway/configuration_watcher.h"

#include "gypsumhub/core/clock.h"
#include "gypsumhub/core/store_position.h"
#include "gypsumhub/decision/selection/watch_timing.h"
#include "gypsumhub/gateway/failure_guard.h"
#include "gypsumhub/platform/configuration_document.h"
#include "gypsumhub/platform/wire_names.h"

#include <algorithm>

namespace gypsumhub {

namespace {

    // Timeout of receiving a configuration from another node.
    constexpr auto transferTimeout = milliseconds(1000);
    // The answer to a watch that took longer than this beyond its wait may have arrived early and waited for a frozen process.
    constexpr auto maxWatchDelay = milliseconds(250);
    // The wait is sent to the store in whole milliseconds, rounded down.
    constexpr auto waitRounding = milliseconds(1);
    // Many nodes that list a large configuration from the store at the same time delay each other, so other nodes come first.
    constexpr auto storeFallbackDelay = milliseconds(1500);

} // namespace

configuration_watcher::configuration_watcher(store_access& access, std::function<void()> onProgress)
    : m_access(access)
    , m_onProgress(std::move(onProgress))
    , m_recheckTimer(access.context().io.get_executor())
{
}

auto configuration_watcher::start() -> void
{
    spawnLoop(m_access.context(), "configuration_watch", [this] { return watch(); });
}

auto configuration_watcher::handleHello(const node_hello& hello) -> void
{
    auto isOverdue = hello.configurationAge > watch_timing::maxConfigurationAge && hello.configurationAge < unwatchedConfigurationAge;
    if (isOverdue)
        m_recheckTimer.cancel();
    // A node that starts first lists all other nodes itself.
    if (m_isStarting || hello.configurationVersion <= versionInForce() || m_isCatchingUp)
        return;
    m_isCatchingUp = true;
    spawnGuarded(m_access.context(), "configuration_catch_up", catchUp(hello.name, hello.configurationVersion), [this] { m_isCatchingUp = false; });
}

auto configuration_watcher::age() const -> duration
{
    return m_matchedAt ? bootClockNow() - *m_matchedAt : unwatchedConfigurationAge;
}

auto configuration_watcher::recordMatch() -> void
{
    auto isFirst = !m_matchedAt;
    m_matchedAt = bootClockNow();
    if (isFirst)
        m_onProgress();
}

auto configuration_watcher::versionInForce() const -> uint64_t
{
    auto& routes = m_access.context().routes;
    return routes ? routes->version() : 0;
}

auto configuration_watcher::list() const -> std::optional<key_listing>
{
    if (m_entry.key.empty())
        return std::nullopt;
    return key_listing { { m_entry }, m_entry.modRevision };
}

auto configuration_watcher::read() -> task<uint64_t>
{
    auto sentAt = bootClockNow();
    auto listed = co_await m_access.store().list(std::string(wire_names::configurationKey), sentAt + storeCallTimeout);
    if (!m_access.recordCall("configuration", listed.status))
        co_return 0;
    applyListing(listed.value);
    m_access.context().freshness.confirm(sentAt);
    co_return listed.value.revision;
}

auto configuration_watcher::confirmByStore() -> void
{
    if (m_isConfirming)
        return;
    m_isConfirming = true;
    spawnGuarded(m_access.context(), "configuration_confirmation", readToConfirm(), [this] { m_isConfirming = false; });
}

auto configuration_watcher::readToConfirm() -> task<>
{
    auto revision = co_await read();
    if (revision == 0)
        co_await m_access.backOff();
}

auto configuration_watcher::watch() -> task<>
{
    auto key = std::string(wire_names::configurationKey);
    auto known = co_await m_access.listAtStartup(key);
    m_isStarting = false;
    if (known)
        applyListing(*known);
    for (auto revision = uint64_t { 0 };;) {
        if (!m_access.context().memberView.watchesConfiguration(bootClockNow())) {
            // Other nodes watch the store; their hellos report a newer version. That holds also while none of them has a configuration, since
            // the store has none that can be used.
            revision = 0;
            m_matchedAt.reset();
            co_await sleepUntil(m_recheckTimer, bootClockNow() + m_access.jittered(readerCheckInterval));
            continue;
        }
        if (revision == 0) {
            revision = co_await read();
            if (revision == 0)
                co_await m_access.backOff();
            else
                recordMatch();
            continue;
        }
        auto sentAt = bootClockNow();
        auto waitUntil = sentAt + watch_timing::maxConfigurationWait;
        auto watched = co_await m_access.store().follow(key, revision, waitUntil);
        if (m_access.recordCall("configuration", watched.status)) {
            revision = watched.value.revision;
            for (auto& change : watched.value.changes)
                applyEntry(change.entry);
            auto now = bootClockNow();
            auto tookFullWait = watched.value.changes.empty() && now >= waitUntil && now < waitUntil + maxWatchDelay;
            m_access.context().freshness.confirm(tookFullWait ? waitUntil - waitRounding : sentAt);
            recordMatch();
        } else {
            revision = 0;
            co_await m_access.backOff();
        }
    }
}

auto configuration_watcher::catchUp(std::string informant, uint64_t version) -> task<>
{
    auto& context = m_access.context();
    auto storeFallbackAt = bootClockNow() + storeFallbackDelay;
    auto unreachable = std::vector<std::string> {};
    while (versionInForce() < version) {
        auto now = bootClockNow();
        auto sources = context.memberView.configurationHolders(version, now);
        if (sources.empty())
            sources.push_back(informant);
        std::erase_if(sources, [&](auto& name) { return std::ranges::find(unreachable, name) != unreachable.end(); });
        if (sources.empty() || now >= storeFallbackAt) {
            auto revision = co_await read();
            if (revision == 0)
                co_await m_access.backOff();
            break;
        }
        // A random holder: the others that lack the configuration ask at the same moment.
        auto source = sources[context.random.below(sources.size())];
        auto listed = co_await m_access.callPeer(source, std::string(wire_names::configurationKey), {}, now + transferTimeout);
        if (listed.status == keyspace_status::Ok) {
            applyListing(listed.value);
            break;
        }
        if (listed.status == keyspace_status::Refused)
            co_await m_access.pause(busyPeerDelay);
        else
            unreachable.push_back(source);
    }
}

auto configuration_watcher::applyListing(const key_listing& listing) -> void
{
    for (auto& entry : listing.entries)
        applyEntry(entry);
}

auto configuration_watcher::applyEntry(const store_entry& entry) -> void
{
    if (entry.key != wire_names::configurationKey)
        return;
    auto known = versionInForce();
    leaf::try_handle_all(
        [&]() -> leaf::result<void> {
            BOOST_LEAF_AUTO(table, readConfigurationDocument(entry.value));
            if (table->version() <= known)
                return {};
            m_access.context().log.write(log_class::Notable, "configuration_taken",
                { { "version", table->version() }, { "before", known }, { "revision", revisionOf(entry.modRevision) }, { "routes", table->routes().size() } });
            m_access.context().routes = table;
            m_access.context().freshness.adopt(table->version());
            m_entry = entry;
            m_onProgress();
            return {};
        },
        [&](const fault_list& faults) {
            m_access.context().log.write(log_class::Notable, "configuration_refused",
                { { "key", entry.key }, { "revision", revisionOf(entry.modRevision) }, { "reason", joinMessages(faults) }, { "in_force", known } });
        },
        [&] {
            m_access.context().log.write(log_class::Notable, "configuration_refused", { { "key", entry.key }, { "revision", revisionOf(entry.modRevision) }, { "in_force", known } });
        });
}

} // namespace gypsumhub
