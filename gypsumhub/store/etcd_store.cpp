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
        // The store may have executed the request although a gateway in front of it failed.
        if (reply.status >= 500)
            return failWith({ result_code::StoreReplyLost, "the store answered with status " + std::to_string(reply.status) });
        return failWith({ result_code::StoreProtocolError, "the store answered with status " + std::to_string(reply.status) });
    }

    /// The result of a call that changes nothing. A lost reply is reported as `StoreUnavailable`, since the call can be retried safely.
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
        m_endpoints.push_back(std::make_unique<store_endpoint>(address, m_settings.backoff, seed++));
}

auto etcd_store::acquireCall(uint64_t store_call_counts::*counter) -> leaf::result<void>
{
    auto lock = std::scoped_lock(m_budgetMutex);
    if (!m_budget.tryAcquire(wallClockNow())) {
        ++m_counts.refused;
        return failWith({ result_code::StoreBudgetSpent, "the limit on store calls per second is reached", {}, 0, "try again in a second" });
    }
    ++(m_counts.*counter);
    return {};
}

auto etcd_store::tryEndpoints(const exchange_function& exchange) -> http_reply
{
    for (auto step = size_t { 0 }; step < m_endpoints.size(); ++step) {
        auto index = (m_preferred + step) % m_endpoints.size();
        auto& candidate = *m_endpoints[index];
        if (!candidate.backoff.mayAttempt(wallClockNow()))
            continue;
        auto reply = exchange(candidate.connection);
        if (reply.progress == http_progress::Answered && reply.status < 500) {
            candidate.backoff.recordSuccess();
            m_preferred = index;
            return reply;
        }
        candidate.backoff.recordFailure(wallClockNow());
        // Only a request that was not sent may be sent to another endpoint, since the first one may still execute it.
        if (reply.progress != http_progress::NotSent)
            return reply;
    }
    return {};
}

auto etcd_store::post(std::string_view path, std::string_view body, time_point deadline, uint64_t store_call_counts::*counter) -> leaf::result<std::string>
{
    auto lock = std::scoped_lock(m_callMutex);
    BOOST_LEAF_CHECK(acquireCall(counter));
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

auto etcd_store::keepLeaseAlive(int64_t lease, time_point deadline) -> leaf::result<bool>
{
    auto request = etcd::leaseKeepAliveRequest(lease);
    BOOST_LEAF_AUTO(body, post("/v3/lease/keepalive", request, deadline, &store_call_counts::leases));
    BOOST_LEAF_AUTO(reply, etcd::readLeaseKeepAlive(body));
    return reply.ttlSeconds > 0;
}

auto etcd_store::acquireLease(std::string_view name, std::string_view holder, time_point validUntil, time_point deadline)
    -> leaf::result<std::optional<time_point>>
{
    // The lease time is counted from before the call, so that a slow answer does not extend it.
    auto startedAt = wallClockNow();
    auto grantedUntil = startedAt + seconds(wholeSeconds(validUntil - startedAt));
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
        BOOST_LEAF_AUTO(isAlive, keepLeaseAlive(*known, deadline));
        if (isAlive)
            return std::optional(grantedUntil);
    }
    BOOST_LEAF_AUTO(lease, grantLease(validUntil, deadline));
    auto request = etcd::putIfRequest(key, current ? current->modRevision : 0, holder, lease);
    BOOST_LEAF_AUTO(body, post("/v3/kv/txn", request, deadline, &store_call_counts::leases));
    BOOST_LEAF_AUTO(reply, etcd::readPutIf(body));
    if (!reply.succeeded)
        return std::optional<time_point> {};
    auto lock = std::scoped_lock(m_callMutex);
    m_leases[std::string(name)] = lease;
    return std::optional(grantedUntil);
}

auto etcd_store::watchAddress() -> std::optional<endpoint>
{
    auto lock = std::scoped_lock(m_callMutex);
    if (m_endpoints.empty())
        return std::nullopt;
    return m_endpoints[m_preferred]->connection.address();
}

auto etcd_store::skipPreferred() -> void
{
    auto lock = std::scoped_lock(m_callMutex);
    if (!m_endpoints.empty())
        m_preferred = (m_preferred + 1) % m_endpoints.size();
}

auto etcd_store::watch(std::string_view key, uint64_t afterRevision, time_point deadline) -> leaf::result<std::optional<store_entry>>
{
    BOOST_LEAF_CHECK(acquireCall(&store_call_counts::watches));
    auto body = etcd::watchRequest(key, afterRevision + 1);
    auto request = http_request { boost::beast::http::verb::post, "/v3/watch", body };
    // Each watch has its own connection, so it does not delay other calls.
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
        skipPreferred();
    // No event until the deadline usually means that nothing changed, but an event may be lost: callers must also read the key periodically.
    if (reply.progress == http_progress::TimedOut)
        return std::optional<store_entry> {};
    if (reply.progress == http_progress::Answered && reply.status == httpOk)
        return failWith({ result_code::StoreUnavailable, "the store ended the watch" });
    BOOST_LEAF_CHECK(toReadResult(std::move(reply)));
    return failWith({ result_code::StoreProtocolError, "the store's answer to 'watch' is malformed" });
}

auto etcd_store::callCounts() const -> store_call_counts
{
    auto lock = std::scoped_lock(m_budgetMutex);
    return m_counts;
}

} // namespace gypsumhub
