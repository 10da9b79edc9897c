#include "gypsumhub/store/etcd_store.h"

#include "gypsumhub/core/clock.h"
#include "gypsumhub/store/etcd_message.h"

#include <algorithm>
#include <utility>

namespace gypsumhub {

namespace {

    constexpr auto httpOk = 200U;

    auto toResult(http_reply reply) -> leaf::result<std::string>
    {
        switch (reply.progress) {
        case http_progress::NotSent:
            return failWith({ result_code::StoreUnavailable, "no endpoint of the store can be reached", {}, 0, "check [store] addresses and the store" });
        case http_progress::Sent:
            return failWith({ result_code::StoreReplyLost, "the connection to the store ended before its answer" });
        case http_progress::TimedOut:
            return failWith({ result_code::StoreTimeout, "the store did not answer before the deadline" });
        case http_progress::Answered:
            break;
        }
        if (reply.status == httpOk)
            return std::move(reply.body);
        // The store may have done the work behind the failing gateway.
        if (reply.status >= 500)
            return failWith({ result_code::StoreReplyLost, "the store answered with status " + std::to_string(reply.status) });
        return failWith({ result_code::StoreProtocolError, "the store answered with status " + std::to_string(reply.status) });
    }

    /// For calls that change nothing: whatever was lost on the way, the answer is simply not there.
    auto toReadResult(http_reply reply) -> leaf::result<std::string>
    {
        auto isLost = reply.progress == http_progress::Sent || (reply.progress == http_progress::Answered && reply.status >= 500);
        if (isLost)
            return failWith({ result_code::StoreUnavailable, "the store ended the call without an answer" });
        return toResult(std::move(reply));
    }

    auto leaseKey(std::string_view name) -> std::string
    {
        return "lease/" + std::string(name);
    }

    auto wholeSeconds(duration length) -> int64_t
    {
        return std::max<int64_t>(length.ns / seconds(1).ns, 1);
    }

} // namespace

etcd_store::etcd_store(settings options)
    : m_settings(std::move(options))
    , m_budget(m_settings.budget)
{
    auto seed = m_settings.seed;
    for (auto& address : m_settings.endpoints)
        m_peers.push_back(std::make_unique<peer>(address, m_settings.backoff, seed++));
}

auto etcd_store::takeCall(uint64_t store_call_counts::*counter) -> leaf::result<void>
{
    auto lock = std::scoped_lock(m_budgetMutex);
    if (!m_budget.take(wallClockNow())) {
        ++m_counts.refused;
        return failWith({ result_code::StoreBudgetSpent, "the budget of store calls is spent", {}, 0, "try again in a second" });
    }
    ++(m_counts.*counter);
    return {};
}

auto etcd_store::tryEndpoints(const exchange_function& exchange) -> http_reply
{
    for (auto step = size_t { 0 }; step < m_peers.size(); ++step) {
        auto index = (m_preferred + step) % m_peers.size();
        auto& candidate = *m_peers[index];
        if (!candidate.backoff.mayAttempt(wallClockNow()))
            continue;
        auto reply = exchange(candidate.connection);
        if (reply.progress == http_progress::Answered && reply.status < 500) {
            candidate.backoff.noteSuccess();
            m_preferred = index;
            return reply;
        }
        candidate.backoff.noteFailure(wallClockNow());
        // Only a request that was never sent may go to another endpoint: the first may still run it.
        if (reply.progress != http_progress::NotSent)
            return reply;
    }
    return {};
}

auto etcd_store::post(std::string_view path, std::string_view body, time_point deadline, uint64_t store_call_counts::*counter) -> leaf::result<std::string>
{
    auto lock = std::scoped_lock(m_callMutex);
    BOOST_LEAF_CHECK(takeCall(counter));
    auto request = http_request { boost::beast::http::verb::post, path, body };
    auto reply = tryEndpoints([&](http_connection& connection) { return connection.exchange(request, deadline); });
    return counter == &store_call_counts::gets ? toReadResult(std::move(reply)) : toResult(std::move(reply));
}

auto etcd_store::get(std::string_view key, time_point deadline) -> leaf::result<std::optional<store_entry>>
{
    BOOST_LEAF_AUTO(body, post("/v3/kv/range", etcd::rangeRequest(key), deadline, &store_call_counts::gets));
    return etcd::readRange(body);
}

auto etcd_store::compareAndSwap(std::string_view key, uint64_t expectedRevision, std::string_view value, time_point deadline) -> leaf::result<uint64_t>
{
    if (value.size() > m_settings.maxValueBytes)
        return failWith({ result_code::ConfigurationTooLarge, "the value of '" + std::string(key) + "' exceeds the store's limit" });
    auto request = etcd::putIfRequest(key, expectedRevision, value, 0);
    BOOST_LEAF_AUTO(body, post("/v3/kv/txn", request, deadline, &store_call_counts::swaps));
    BOOST_LEAF_AUTO(reply, etcd::readPutIf(body));
    if (!reply.succeeded)
        return failWith({ result_code::StoreCompareFailed, "the value of '" + std::string(key) + "' changed before the write" });
    return reply.revision;
}

auto etcd_store::remove(std::string_view key, time_point deadline) -> leaf::result<void>
{
    BOOST_LEAF_CHECK(post("/v3/kv/deleterange", etcd::deleteRequest(key), deadline, &store_call_counts::removals));
    return {};
}

auto etcd_store::grantLease(time_point validUntil, time_point deadline) -> leaf::result<int64_t>
{
    auto request = etcd::leaseGrantRequest(wholeSeconds(validUntil - wallClockNow()));
    BOOST_LEAF_AUTO(body, post("/v3/lease/grant", request, deadline, &store_call_counts::leases));
    BOOST_LEAF_AUTO(reply, etcd::readLeaseGrant(body));
    return reply.id;
}

auto etcd_store::keepLease(int64_t lease, time_point deadline) -> leaf::result<bool>
{
    auto request = etcd::leaseKeepAliveRequest(lease);
    BOOST_LEAF_AUTO(body, post("/v3/lease/keepalive", request, deadline, &store_call_counts::leases));
    BOOST_LEAF_AUTO(reply, etcd::readLeaseKeepAlive(body));
    return reply.ttlSeconds > 0;
}

auto etcd_store::acquireLease(std::string_view name, std::string_view holder, time_point validUntil, time_point deadline)
    -> leaf::result<std::optional<time_point>>
{
    // The lease counts from before the call, so that a slow answer never makes it look longer than it is.
    auto asked = wallClockNow();
    auto granted = asked + seconds(wholeSeconds(validUntil - asked));
    auto key = leaseKey(name);
    BOOST_LEAF_AUTO(current, get(key, deadline));
    if (current && current->value != holder)
        return std::optional<time_point> {};
    auto known = [&]() -> std::optional<int64_t> {
        auto lock = std::scoped_lock(m_callMutex);
        auto found = m_leases.find(name);
        return found == m_leases.end() ? std::nullopt : std::optional(found->second);
    }();
    if (current && known) {
        BOOST_LEAF_AUTO(isAlive, keepLease(*known, deadline));
        if (isAlive)
            return std::optional(granted);
    }
    BOOST_LEAF_AUTO(lease, grantLease(validUntil, deadline));
    auto request = etcd::putIfRequest(key, current ? current->modRevision : 0, holder, lease);
    BOOST_LEAF_AUTO(body, post("/v3/kv/txn", request, deadline, &store_call_counts::leases));
    BOOST_LEAF_AUTO(reply, etcd::readPutIf(body));
    if (!reply.succeeded)
        return std::optional<time_point> {};
    auto lock = std::scoped_lock(m_callMutex);
    m_leases[std::string(name)] = lease;
    return std::optional(granted);
}

auto etcd_store::watchAddress() -> std::optional<endpoint>
{
    auto lock = std::scoped_lock(m_callMutex);
    if (m_peers.empty())
        return std::nullopt;
    return m_peers[m_preferred]->connection.address();
}

auto etcd_store::passOverPreferred() -> void
{
    auto lock = std::scoped_lock(m_callMutex);
    if (!m_peers.empty())
        m_preferred = (m_preferred + 1) % m_peers.size();
}

auto etcd_store::watch(std::string_view key, uint64_t afterRevision, time_point deadline) -> leaf::result<std::optional<store_entry>>
{
    BOOST_LEAF_CHECK(takeCall(&store_call_counts::watches));
    auto body = etcd::watchRequest(key, afterRevision + 1);
    auto request = http_request { boost::beast::http::verb::post, "/v3/watch", body };
    // The watch waits on a connection of its own, so it holds up nobody.
    auto address = watchAddress();
    auto reply = http_reply {};
    auto line = std::optional<std::string> {};
    if (address) {
        auto connection = http_connection(*address);
        reply = connection.stream(request, deadline, [&](std::string_view text) {
            auto isEvent = text.find("\"events\"") != std::string_view::npos || text.find("\"canceled\"") != std::string_view::npos;
            if (isEvent)
                line = text;
            return !isEvent;
        });
    }
    if (line)
        return etcd::readWatchLine(*line);
    if (reply.progress == http_progress::NotSent)
        passOverPreferred();
    // Silence until the deadline may mean that nothing changed; the caller has to read the key now and then.
    if (reply.progress == http_progress::TimedOut)
        return std::optional<store_entry> {};
    if (reply.progress == http_progress::Answered && reply.status == httpOk)
        return failWith({ result_code::StoreUnavailable, "the store ended the watch" });
    BOOST_LEAF_CHECK(toReadResult(std::move(reply)));
    return failWith({ result_code::StoreProtocolError, "the store's watch cannot be read" });
}

auto etcd_store::callCounts() const -> store_call_counts
{
    auto lock = std::scoped_lock(m_budgetMutex);
    return m_counts;
}

} // namespace gypsumhub
