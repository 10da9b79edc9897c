#include "gypsumhub/gateway/node_follower.h"

#include "gypsumhub/config/section_reader.h"
#include "gypsumhub/core/clock.h"
#include "gypsumhub/core/hash.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace gypsumhub {

namespace {

    namespace json = boost::json;

    // Nodes come and go together; one call takes them all.
    constexpr auto nodePause = milliseconds(2000);
    // While all start, each learns early who else is there.
    constexpr auto startNodePause = milliseconds(400);
    constexpr auto startTime = seconds(4);
    // Nodes that register before they list see all that came before them.
    constexpr auto registrationLimit = milliseconds(500);
    constexpr auto registrationCheck = milliseconds(10);
    // A node that dies is missed by the nodes of other data centres for so long; its own data centre hears at once.
    constexpr auto leaseLength = seconds(8);
    constexpr auto leaseRenewal = milliseconds(2600);

    auto digestOf(const store_entry& entry) -> uint64_t
    {
        return mixHashes(hashName(entry.key), entry.modRevision);
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
        return node_registration { entry.key.substr(node_follower::prefix.size()), textOf("data_centre"), *caller, *peer, parseDuration(textOf("store_delay")).value_or(duration {}),
            { numberOf("cores"), numberOf("link") } };
    }

} // namespace

node_follower::node_follower(store_access& access)
    : m_access(access)
{
}

auto node_follower::start() -> void
{
    asio::co_spawn(m_access.context().io.get_executor(), follow(), asio::detached);
    asio::co_spawn(m_access.context().io.get_executor(), keepRegistration(), asio::detached);
}

auto node_follower::takeReaderHello(const node_hello& hello) -> void
{
    auto lasts = m_difference.note(hello.nodesDigest != digest());
    if (!lasts || m_isCatchingUp)
        return;
    m_difference.clear();
    asio::co_spawn(m_access.context().io.get_executor(), catchUp(hello.name), asio::detached);
}

auto node_follower::list() const -> key_listing
{
    auto listing = key_listing {};
    for (auto& [key, entry] : m_entries)
        listing.entries.push_back(entry);
    return listing;
}

auto node_follower::remove(const std::string& key) -> void
{
    auto known = m_entries.find(key);
    if (known == m_entries.end())
        return;
    m_digest -= digestOf(known->second);
    m_entries.erase(known);
    m_access.context().roster.noteUnregistered(key.substr(prefix.size()), bootClockNow());
}

auto node_follower::read() -> task<uint64_t>
{
    auto listed = co_await m_access.store().list(std::string(prefix), bootClockNow() + storeCallLimit);
    if (!m_access.noteStore("nodes", listed.status))
        co_return 0;
    if (m_entries.empty())
        m_access.context().roster.noteStart(bootClockNow());
    takeAll(listed.value);
    m_access.noteNodes();
    co_return listed.value.revision;
}

auto node_follower::pauseBetweenReads() const -> duration
{
    return bootClockNow() < m_access.context().startedAt + startTime ? startNodePause : nodePause;
}

auto node_follower::follow() -> task<>
{
    while (!m_hasRegistered && bootClockNow() < m_access.context().startedAt + registrationLimit)
        co_await m_access.pause(registrationCheck);
    for (auto revision = uint64_t { 0 };;) {
        if (!m_entries.empty() && !m_access.context().roster.isReader(bootClockNow())) {
            revision = 0;
            co_await m_access.pause(readerCheckPause);
            continue;
        }
        if (revision == 0) {
            revision = co_await read();
            if (revision == 0)
                co_await m_access.pauseAfterFailure();
            else
                co_await m_access.pause(pauseBetweenReads());
            continue;
        }
        auto followed = co_await m_access.store().follow(std::string(prefix), revision, bootClockNow() + longestWatch);
        if (m_access.noteStore("nodes", followed.status)) {
            revision = followed.value.revision;
            for (auto& change : followed.value.changes) {
                if (!change.isRemoval)
                    take(change.entry);
                else
                    remove(change.entry.key);
            }
        } else
            revision = 0;
        co_await m_access.pause(pauseBetweenReads());
    }
}

auto node_follower::catchUp(std::string from) -> task<>
{
    m_isCatchingUp = true;
    auto listed = co_await m_access.listAt(from, std::string(prefix));
    if (listed.status == keyspace_status::Ok)
        takeAll(listed.value);
    else
        co_await m_access.pauseAfterFailure();
    m_isCatchingUp = false;
}

auto node_follower::take(const store_entry& entry) -> void
{
    auto [known, isNew] = m_entries.try_emplace(entry.key);
    m_digest += digestOf(entry) - (isNew ? 0 : digestOf(known->second));
    known->second = entry;
    if (auto node = parseNode(entry))
        m_access.context().roster.noteRegistered(*node);
    else
        m_access.context().log.write(log_class::Notable, "node_refused", { { "key", entry.key }, { "revision", entry.modRevision } });
}

auto node_follower::takeAll(const key_listing& listing) -> void
{
    auto gone = m_entries;
    for (auto& entry : listing.entries) {
        gone.erase(entry.key);
        take(entry);
    }
    for (auto& [key, entry] : gone)
        remove(key);
}

auto node_follower::keepRegistration() -> task<>
{
    auto isRegistered = false;
    while (!m_access.context().isStopping) {
        if (m_lease == 0) {
            auto granted = co_await m_access.store().grantLease(std::max(leaseLength, m_access.context().settings.shortestLease), bootClockNow() + storeCallLimit);
            if (m_access.noteStore("lease", granted.status))
                m_lease = granted.value;
            isRegistered = false;
        }
        if (m_lease != 0 && !isRegistered) {
            auto key = std::string(prefix) + m_access.context().settings.name;
            m_access.context().roster.setStoreDelay(m_access.store().minCallDelay());
            auto status = co_await m_access.store().put(std::move(key), formatNode(m_access.context().roster.own()), m_lease, bootClockNow() + storeCallLimit);
            isRegistered = m_access.noteStore("registration", status);
            m_hasRegistered |= isRegistered;
            if (status == keyspace_status::LeaseExpired)
                m_lease = 0;
        }
        if (!isRegistered) {
            co_await m_access.pauseAfterFailure();
            continue;
        }
        co_await m_access.pause(leaseRenewal);
        auto status = co_await m_access.store().renewLease(m_lease, bootClockNow() + storeCallLimit);
        m_access.noteStore("renewal", status);
        if (status == keyspace_status::LeaseExpired)
            m_lease = 0;
    }
}

auto node_follower::unregister() -> void
{
    if (m_lease == 0)
        return;
    asio::co_spawn(
        m_access.context().io.get_executor(),
        [this]() -> task<> {
            auto status = co_await m_access.store().endLease(m_lease, bootClockNow() + storeCallLimit);
            m_access.noteStore("unregister", status);
        },
        asio::detached);
}

} // namespace gypsumhub
