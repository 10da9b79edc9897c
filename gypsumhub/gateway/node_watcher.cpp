#include "gypsumhub/gateway/node_watcher.h"

#include "gypsumhub/config/section_reader.h"
#include "gypsumhub/core/clock.h"
#include "gypsumhub/core/hash.h"
#include "gypsumhub/core/store_position.h"
#include "gypsumhub/decision/selection/watch_timing.h"
#include "gypsumhub/gateway/failure_guard.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace gypsumhub {

namespace {

    namespace json = boost::json;

    // Nodes often start and stop together; after a pause one call reads all changes.
    constexpr auto nodeReadInterval = milliseconds(2000);
    // Shorter during startup, so that nodes starting together discover each other early.
    constexpr auto startupReadInterval = milliseconds(400);
    constexpr auto startupPeriod = seconds(4);
    // Listing waits this long for the node's own registration, so that the listing contains all nodes that registered earlier.
    constexpr auto registrationTimeout = milliseconds(500);
    constexpr auto registrationCheckInterval = milliseconds(10);
    // Nodes of other data centres detect a failed node only when its lease has ended; those of its own data centre detect it
    // earlier by the missing hellos.
    constexpr auto leaseTtl = seconds(24);
    constexpr auto leaseRenewalInterval = seconds(8);
    // A node notices with its next renewal, after 10 s at most, that the store lost its registration. Then come up to four calls.
    constexpr auto reregistrationTime = seconds(16);

    auto digestOf(const store_entry& entry) -> uint64_t
    {
        return mixHashes(hashName(entry.key), entry.modRevision);
    }

    auto nodeNameOf(const std::string& key) -> std::string
    {
        return key.substr(key.rfind('/') + 1);
    }

    auto formatNode(const node_registration& node) -> std::string
    {
        return json::serialize(json::object { { "data_centre", node.dataCentre }, { "caller_address", formatEndpoint(node.callerAddress) },
            { "peer_address", formatEndpoint(node.peerAddress) }, { "store_delay", std::to_string(node.storeDelay.milliseconds()) + "ms" },
            { "cores", node.size.cores }, { "link", node.size.linkMegabits } });
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
        auto numberOf = [&](std::string_view name) {
            auto* field = object->if_contains(name);
            return field && field->is_number() ? field->to_number<double>() : 0.0;
        };
        auto caller = parseEndpoint(textOf("caller_address"));
        auto peer = parseEndpoint(textOf("peer_address"));
        if (!caller || !peer)
            return std::nullopt;
        return node_registration { nodeNameOf(entry.key), textOf("data_centre"), *caller, *peer, parseDuration(textOf("store_delay")).value_or(duration {}),
            { numberOf("cores"), numberOf("link") } };
    }

} // namespace

node_watcher::node_watcher(store_access& access)
    : m_access(access)
{
}

auto node_watcher::start() -> void
{
    spawnLoop(m_access.context(), "node_watch", [this] { return watch(); });
    spawnLoop(m_access.context(), "registration", [this] { return keepRegistration(); });
}

auto node_watcher::handleReaderHello(const node_hello& hello) -> void
{
    auto persists = m_mismatch.update(hello.nodesDigest != digest());
    if (!persists || m_isCatchingUp)
        return;
    m_mismatch.clear();
    m_isCatchingUp = true;
    spawnGuarded(m_access.context(), "node_catch_up", catchUp(hello.name), [this] { m_isCatchingUp = false; });
}

auto node_watcher::bucketDigests() const -> bucket_digests
{
    auto digests = bucket_digests {};
    for (auto& [key, entry] : m_entries)
        digests.add(key, digestOf(entry));
    return digests;
}

auto node_watcher::list(const bucket_digests& known) const -> key_listing
{
    auto listing = key_listing { {}, 0, bucketDigests().differing(known) };
    for (auto& [key, entry] : m_entries) {
        if (listing.buckets[bucket_digests::bucketOf(key)])
            listing.entries.push_back(entry);
    }
    return listing;
}

auto node_watcher::remove(const std::string& key) -> void
{
    auto known = m_entries.find(key);
    if (known == m_entries.end())
        return;
    m_digest -= digestOf(known->second);
    m_entries.erase(known);
    m_access.context().memberView.recordUnregistration(nodeNameOf(key), bootClockNow());
}

auto node_watcher::ownDataCentrePrefix() const -> std::string
{
    return std::string(prefix) + m_access.context().settings.dataCentre + "/";
}

auto node_watcher::ownKey() const -> std::string
{
    return ownDataCentrePrefix() + m_access.context().settings.name;
}

auto node_watcher::readOwnDataCentre() -> task<>
{
    while (m_entries.empty()) {
        auto listed = co_await m_access.store().list(ownDataCentrePrefix(), bootClockNow() + storeCallTimeout);
        if (!m_access.recordCall("nodes", listed.status)) {
            co_await m_access.backOff();
            continue;
        }
        m_access.context().memberView.beginStartupGrace(bootClockNow());
        applyListing(listed.value);
        m_access.markNodesListed();
        if (m_entries.empty())
            co_await m_access.pause(pauseBetweenReads());
    }
}

auto node_watcher::read() -> task<uint64_t>
{
    auto listed = co_await m_access.store().list(std::string(prefix), bootClockNow() + storeCallTimeout);
    recordEra();
    if (!m_access.recordCall("nodes", listed.status))
        co_return 0;
    applyListing(listed.value);
    co_return listed.value.revision;
}

auto node_watcher::pauseBetweenReads() const -> duration
{
    return bootClockNow() < m_access.context().startedAt + startupPeriod ? startupReadInterval : nodeReadInterval;
}

auto node_watcher::watch() -> task<>
{
    while (!m_hasRegistered && bootClockNow() < m_access.context().startedAt + registrationTimeout)
        co_await m_access.pause(registrationCheckInterval);
    co_await readOwnDataCentre();
    for (auto revision = uint64_t { 0 };;) {
        auto& memberView = m_access.context().memberView;
        if (!memberView.isReader(bootClockNow()) || memberView.hasStartingReader(bootClockNow())) {
            revision = 0;
            co_await m_access.pause(readerCheckInterval);
            continue;
        }
        if (m_hold.takeListingDue(bootClockNow()))
            revision = 0;
        if (revision == 0) {
            revision = co_await read();
            if (revision == 0)
                co_await m_access.backOff();
            else
                co_await m_access.pause(pauseBetweenReads());
            continue;
        }
        auto now = bootClockNow();
        auto watched = co_await m_access.store().follow(std::string(prefix), revision, m_hold.limit(now + watch_timing::maxNodesWait, now));
        if (m_access.recordCall("nodes", watched.status)) {
            revision = watched.value.revision;
            for (auto& change : watched.value.changes) {
                if (!change.isRemoval)
                    applyEntry(change.entry);
                else
                    remove(change.entry.key);
            }
        } else
            revision = 0;
        co_await m_access.pause(pauseBetweenReads());
    }
}

auto node_watcher::catchUp(std::string from) -> task<>
{
    auto listed = co_await m_access.listFrom(from, std::string(prefix), bucketDigests());
    if (listed.status == keyspace_status::Ok)
        applyListing(listed.value);
    else
        co_await m_access.backOff();
}

auto node_watcher::applyEntry(const store_entry& entry) -> void
{
    auto [known, isNew] = m_entries.try_emplace(entry.key);
    // The same write, read again after the store was restored, keeps its position, so that it still equals the copies of other nodes.
    auto isSameWrite = !isNew && revisionOf(known->second.modRevision) == revisionOf(entry.modRevision) && known->second.value == entry.value;
    if (!isSameWrite) {
        m_digest += digestOf(entry) - (isNew ? 0 : digestOf(known->second));
        known->second = entry;
    }
    if (auto node = parseNode(entry))
        m_access.context().memberView.recordRegistration(*node);
    else
        m_access.context().log.write(log_class::Notable, "node_refused", { { "key", entry.key }, { "revision", revisionOf(entry.modRevision) } });
}

auto node_watcher::applyListing(const key_listing& listing) -> void
{
    auto removed = m_entries;
    for (auto& entry : listing.entries) {
        removed.erase(entry.key);
        applyEntry(entry);
    }
    // Listings of other nodes have no revision.
    if (listing.revision != 0 && m_hold.isHolding(bootClockNow()))
        return;
    for (auto& [key, entry] : removed) {
        if (listing.buckets[bucket_digests::bucketOf(key)])
            remove(key);
    }
}

auto node_watcher::recordEra() -> void
{
    m_hold.recordEra(m_access.store().era(), bootClockNow() + reregistrationTime);
}

auto node_watcher::keepRegistration() -> task<>
{
    auto isRegistered = false;
    while (!m_access.context().shutdown.hasBegun()) {
        if (m_lease == 0) {
            auto granted = co_await m_access.store().grantLease(std::max(leaseTtl, m_access.context().settings.shortestLease), bootClockNow() + storeCallTimeout);
            if (m_access.recordCall("lease", granted.status))
                m_lease = granted.value;
            m_leaseEra = m_access.store().era();
            isRegistered = false;
        }
        if (m_lease != 0 && !isRegistered) {
            auto key = ownKey();
            m_access.context().memberView.setStoreDelay(m_access.store().minCallDelay());
            auto status = co_await m_access.store().put(std::move(key), formatNode(m_access.context().memberView.own()), m_lease, bootClockNow() + storeCallTimeout);
            isRegistered = m_access.recordCall("registration", status);
            recordEra();
            m_hasRegistered |= isRegistered;
            if (status == keyspace_status::LeaseExpired || m_leaseEra != m_access.store().era()) {
                m_lease = 0;
                isRegistered = false;
            }
        }
        if (!isRegistered) {
            co_await m_access.backOff();
            continue;
        }
        co_await m_access.pause(leaseRenewalInterval);
        auto status = co_await m_access.store().renewLease(m_lease, bootClockNow() + storeCallTimeout);
        m_access.recordCall("renewal", status);
        recordEra();
        auto isOwn = true;
        if (status == keyspace_status::Ok && m_leaseEra != m_access.store().era())
            isOwn = co_await confirmLease();
        if (status == keyspace_status::LeaseExpired || !isOwn)
            m_lease = 0;
    }
}

auto node_watcher::confirmLease() -> task<bool>
{
    auto era = m_access.store().era();
    auto holder = co_await m_access.store().leaseOf(ownKey(), bootClockNow() + storeCallTimeout);
    if (!m_access.recordCall("lease_check", holder.status) || era != m_access.store().era())
        co_return true;
    if (holder.value == m_lease)
        m_leaseEra = era;
    co_return holder.value == m_lease;
}

auto node_watcher::endRegistration() -> task<>
{
    auto status = co_await m_access.store().endLease(m_lease, bootClockNow() + storeCallTimeout);
    m_access.recordCall("unregister", status);
}

auto node_watcher::unregister() -> void
{
    // A lease of an earlier era may be another node's by now.
    if (m_lease == 0 || m_leaseEra != m_access.store().era())
        return;
    spawnGuarded(m_access.context(), "unregistration", endRegistration());
}

} // namespace gypsumhub
