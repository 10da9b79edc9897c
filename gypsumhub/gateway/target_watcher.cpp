#include "gypsumhub/gateway/target_watcher.h"

#include "gypsumhub/core/clock.h"
#include "gypsumhub/core/store_position.h"
#include "gypsumhub/decision/selection/watch_timing.h"
#include "gypsumhub/gateway/failure_guard.h"
#include "gypsumhub/platform/registration_document.h"
#include "gypsumhub/platform/wire_names.h"

namespace gypsumhub {

target_watcher::target_watcher(store_access& access, listeners listeners)
    : m_access(access)
    , m_listeners(std::move(listeners))
{
}

auto target_watcher::start() -> void
{
    spawnLoop(m_access.context(), "registration_watch", [this] { return watch(); });
}

auto target_watcher::handleReaderHello(const node_hello& hello) -> void
{
    auto& context = m_access.context();
    auto differs = hello.viewDigest != context.view.digest();
    if (!differs)
        context.viewConfirmedAt = std::max(context.viewConfirmedAt, bootClockNow() - hello.viewAge);
    if (m_mismatch.update(differs))
        m_needsListing = true;
}

auto target_watcher::list(const bucket_digests& known) const -> std::optional<key_listing>
{
    if (!m_access.context().hasTargetListing)
        return std::nullopt;
    auto& view = m_access.context().view;
    auto listing = key_listing { {}, view.revision(), view.digests().differing(known) };
    for (auto& [id, target] : view.entries()) {
        if (listing.buckets[bucket_digests::bucketOf(id)])
            listing.entries.push_back(writeRegistrationDocument(target, bootClockNow()));
    }
    return listing;
}

auto target_watcher::watch() -> task<>
{
    m_revision = 0;
    auto known = co_await m_access.listAtStartup(std::string(wire_names::targetPrefix));
    if (known)
        applyListing(*known, view_source::Node);
    for (;;) {
        auto now = bootClockNow();
        auto& context = m_access.context();
        // A node that has listed from another one waits for the starting reader; one without a listing does not.
        auto isReader = context.memberView.isReader(now) && !(context.hasTargetListing && context.memberView.hasStartingReader(now));
        if (!isReader && !m_needsListing) {
            // Another node is the reader. The revision read here becomes outdated, so reading resumes with a listing.
            m_revision = 0;
            co_await m_access.pause(readerCheckInterval);
            continue;
        }
        auto isRead = false;
        if (m_revision == 0 || m_needsListing)
            isRead = co_await readAll();
        else
            isRead = co_await readChanges();
        if (isRead)
            co_await m_access.pause(watch_timing::pause);
        else
            co_await m_access.backOff();
    }
}

auto target_watcher::readAll() -> task<bool>
{
    auto prefix = std::string(wire_names::targetPrefix);
    auto* reader = m_access.context().memberView.reader(bootClockNow());
    if (reader) {
        auto received = co_await m_access.listFromPeer(reader->name, prefix, m_access.context().view.digests());
        if (received.status == keyspace_status::Ok)
            applyListing(received.value, view_source::Node);
        if (received.status == keyspace_status::Ok || received.status == keyspace_status::Refused)
            co_return received.status == keyspace_status::Ok;
    }
    auto listed = co_await m_access.store().list(std::move(prefix), bootClockNow() + storeCallTimeout);
    if (!m_access.recordCall("registrations", listed.status))
        co_return false;
    m_revision = listed.value.revision;
    m_access.context().viewConfirmedAt = bootClockNow();
    applyListing(listed.value, view_source::Store);
    co_return true;
}

auto target_watcher::applyListing(const key_listing& listing, view_source source) -> void
{
    auto targets = std::vector<target_registration> {};
    for (auto& entry : listing.entries) {
        if (auto read = readEntry(entry))
            targets.push_back(std::move(*read));
    }
    m_needsListing = false;
    m_mismatch.clear();
    auto changes = m_access.context().view.replace(targets, listing.revision, source, bootClockNow(), listing.buckets);
    apply(changes);
    if (isRelay(bootClockNow()))
        m_listeners.broadcast(changes);
    m_access.context().hasTargetListing = true;
    m_listeners.progress();
}

auto target_watcher::readChanges() -> task<bool>
{
    auto watched = co_await m_access.store().follow(std::string(wire_names::targetPrefix), m_revision, bootClockNow() + watch_timing::maxWait);
    if (!m_access.recordCall("registrations", watched.status)) {
        m_revision = 0;
        // The hello lets the next node take over.
        m_listeners.progress();
        co_return false;
    }
    m_revision = watched.value.revision;
    m_access.context().viewConfirmedAt = bootClockNow();
    auto changes = std::vector<view_change> {};
    for (auto& event : watched.value.changes) {
        auto change = std::optional<view_change> {};
        auto read = event.isRemoval ? std::nullopt : readEntry(event.entry);
        if (read) {
            logLateEntry(*read);
            change = m_access.context().view.put(*read);
        } else if (event.isRemoval)
            change = m_access.context().view.remove(targetIdOf(event.entry.key), event.entry.modRevision, view_source::Store, bootClockNow());
        if (change)
            changes.push_back(std::move(*change));
    }
    apply(changes);
    m_listeners.broadcast(changes);
    co_return true;
}

auto target_watcher::readEntry(const store_entry& entry) -> std::optional<target_registration>
{
    return leaf::try_handle_all(
        [&]() -> leaf::result<std::optional<target_registration>> {
            BOOST_LEAF_AUTO(read, readRegistrationDocument(entry, bootClockNow()));
            return std::optional(read);
        },
        [&](const fault_list& faults) -> std::optional<target_registration> {
            m_access.context().log.write(log_class::Notable, "registration_refused", { { "key", entry.key }, { "revision", revisionOf(entry.modRevision) }, { "reason", joinMessages(faults) } });
            return std::nullopt;
        },
        [&]() -> std::optional<target_registration> {
            m_access.context().log.write(log_class::Notable, "registration_refused", { { "key", entry.key }, { "revision", revisionOf(entry.modRevision) } });
            return std::nullopt;
        });
}

auto target_watcher::logLateEntry(const target_registration& read) -> void
{
    auto& entries = m_access.context().view.entries();
    auto known = entries.find(read.id);
    if (known == entries.end() || known->second.revision <= read.revision)
        return;
    ++m_access.context().counters.lateRegistrations;
    m_access.context().log.write(log_class::Notable, "registration_late", { { "target", read.id }, { "revision", revisionOf(read.revision) }, { "known_revision", revisionOf(known->second.revision) } });
}

auto target_watcher::apply(std::span<const view_change> changes) -> void
{
    auto now = bootClockNow();
    for (auto& change : changes) {
        auto& entry = change.registration;
        if (change.isRemoval) {
            m_access.context().balancer.remove(entry.id);
            m_access.context().connections.removeTarget(entry.id);
        } else {
            auto known = m_access.context().balancer.find(entry.id);
            m_access.context().balancer.put(entry, now, m_access.context().hasTargetListing);
            // Connections of the earlier incarnation lead to its address.
            if (known && known->isClosed)
                m_access.context().connections.removeTarget(entry.id);
        }
        auto what = change.isRemoval ? "target_removed" : entry.isDraining ? "target_draining"
                                                                           : "target_registered";
        m_access.context().log.write(log_class::Notable, what,
            { { "target", entry.id }, { "service", entry.service }, { "era", eraOf(entry.revision) }, { "revision", revisionOf(entry.revision) }, { "incarnation", entry.incarnation } });
        m_access.context().dispatcher(entry.service).dispatchWaiting();
    }
}

auto target_watcher::handleChanges(std::span<const view_change> received) -> void
{
    auto changes = std::vector<view_change> {};
    for (auto& change : received) {
        auto& entry = change.registration;
        auto applied = change.isRemoval ? m_access.context().view.remove(entry.id, entry.revision, view_source::Node, bootClockNow()) : m_access.context().view.put(entry);
        if (applied)
            changes.push_back(std::move(*applied));
    }
    apply(changes);
    if (isRelay(bootClockNow()))
        m_listeners.broadcast(changes);
}

auto target_watcher::isRelay(time_point now) const -> bool
{
    // The first node of a distant data centre relays what it receives from its upstream.
    auto& memberView = m_access.context().memberView;
    return memberView.hasRemoteUpstream(now) || memberView.isReader(now);
}

auto target_watcher::tick() -> void
{
    if (m_access.context().view.takeListingDue(bootClockNow()))
        m_needsListing = true;
    auto changes = m_access.context().view.takeDueRemovals(bootClockNow());
    if (changes.empty())
        return;
    apply(changes);
    if (isRelay(bootClockNow()))
        m_listeners.broadcast(changes);
}

} // namespace gypsumhub
