#include "gypsumhub/gateway/store_access.h"

#include "gypsumhub/core/clock.h"
#include "gypsumhub/decision/selection/store_retry.h"
#include "gypsumhub/platform/kv_client.h"

namespace gypsumhub {

namespace {

    // A listing of 400 KB takes a third of a second over a link of 10 Mbit/s.
    constexpr auto peerCallTimeout = milliseconds(800);
    // Allows for a chain of four slow nodes that list one after another. A node that starts alone does not wait.
    constexpr auto startListTimeout = milliseconds(2000);
    constexpr auto startRetryDelay = milliseconds(30);
    // A configuration of 1,400 routes takes a quarter of a second over a link of 10 Mbit/s.
    constexpr auto startCallTimeout = milliseconds(700);

} // namespace

store_access::store_access(gateway_context& context, keyspace& store)
    : m_context(context)
    , m_store(store)
{
}

auto store_access::jittered(duration length) const -> duration
{
    return { static_cast<int64_t>(static_cast<double>(length.ns) * (0.75 + 0.5 * m_context.random.unit())) };
}

auto store_access::pause(duration length) -> task<>
{
    auto timer = steady_timer(m_context.io.get_executor());
    co_await sleepUntil(timer, bootClockNow() + jittered(length));
}

auto store_access::recordCall(std::string_view call, keyspace_status status) -> bool
{
    ++m_context.counters.storeCalls[std::string(call)];
    auto now = bootClockNow();
    auto isAnswered = status != keyspace_status::Unanswered && status != keyspace_status::Refused;
    if (!isAnswered) {
        ++m_context.counters.storeFailures;
        m_outage.recordFailure(now);
    } else if (m_outage.recordAnswer(now, m_context.viewConfirmedAt)) {
        m_context.view.recordStoreOutage(now);
        m_context.log.write(log_class::Notable, "store_outage", { { "call", call }, { "registrations_age_ms", (now - m_context.viewConfirmedAt).milliseconds() } });
    }
    if (auto era = m_store.era(); era > m_context.storeEra) {
        if (m_context.storeEra != 0)
            m_context.log.write(log_class::Notable, "store_restored", { { "call", call }, { "era", era }, { "before", m_context.storeEra } });
        m_context.storeEra = era;
    }
    if (isAnswered == m_isStoreLost) {
        m_isStoreLost = !isAnswered;
        m_storeLostSince = now;
        m_context.log.write(log_class::Notable, m_isStoreLost ? "store_lost" : "store_regained", { { "call", call }, { "status", static_cast<int>(status) } });
    }
    return status == keyspace_status::Ok;
}

auto store_access::backOff() -> task<>
{
    co_await pause(retryDelay(m_isStoreLost ? bootClockNow() - m_storeLostSince : duration {}));
}

auto store_access::listAtStartup(std::string prefix) -> task<std::optional<key_listing>>
{
    auto limit = bootClockNow() + startListTimeout;
    while (!m_hasNodeListing && bootClockNow() < limit)
        co_await pause(startRetryDelay);
    auto sources = m_context.memberView.bootstrapSources();
    for (auto source = sources.begin(); source != sources.end() && bootClockNow() < limit;) {
        auto listed = co_await callPeer(*source, prefix, {}, bootClockNow() + startCallTimeout);
        if (listed.status == keyspace_status::Ok) {
            m_context.log.write(log_class::Notable, "listed_at_peer", { { "node", *source }, { "prefix", prefix }, { "entries", listed.value.entries.size() } });
            co_return std::move(listed.value);
        }
        // A peer that is starting as well answers 404 (mapped to `LeaseExpired`) until it has the listing, and one that is sending to
        // too many others refuses; a failed peer does not answer.
        if (listed.status == keyspace_status::LeaseExpired || listed.status == keyspace_status::Refused)
            co_await pause(startRetryDelay);
        else
            ++source;
    }
    co_return std::nullopt;
}

auto store_access::callPeer(std::string node, std::string prefix, bucket_digests known, time_point deadline) -> task<keyspace_result<key_listing>>
{
    auto* peer = m_context.memberView.find(node);
    if (!peer)
        co_return keyspace_result<key_listing> {};
    ++m_context.counters.peerListings[prefix];
    auto client = kv_client(m_context.io, peer->peerAddress, m_context.buffers);
    auto listed = co_await client.listDifference(std::move(prefix), known, deadline);
    co_return listed;
}

auto store_access::listFromPeer(std::string node, std::string prefix, bucket_digests known) -> task<keyspace_result<key_listing>>
{
    auto deadline = bootClockNow() + peerCallTimeout;
    for (;;) {
        auto listed = co_await callPeer(node, prefix, known, deadline);
        if (listed.status == keyspace_status::Ok)
            co_return listed;
        if (listed.status != keyspace_status::Refused || bootClockNow() + busyPeerDelay >= deadline) {
            m_context.log.write(log_class::Notable, "peer_list_failed",
                { { "node", node }, { "prefix", prefix }, { "busy", listed.status == keyspace_status::Refused } });
            co_return listed;
        }
        co_await pause(busyPeerDelay);
    }
}

auto store_access::listFrom(std::string node, std::string prefix, bucket_digests known) -> task<keyspace_result<key_listing>>
{
    auto received = co_await listFromPeer(std::move(node), prefix, known);
    if (received.status == keyspace_status::Ok || received.status == keyspace_status::Refused)
        co_return received;
    auto listed = co_await m_store.list(prefix, bootClockNow() + storeCallTimeout);
    recordCall("catch_up", listed.status);
    co_return listed;
}

auto joinMessages(const fault_list& list) -> std::string
{
    auto text = std::string {};
    for (auto& fault : list.faults)
        text += (text.empty() ? "" : "; ") + fault.message;
    return text;
}

} // namespace gypsumhub
