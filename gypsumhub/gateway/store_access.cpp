#include "gypsumhub/gateway/store_access.h"

#include "gypsumhub/core/clock.h"
#include "gypsumhub/decision/selection/store_retry.h"
#include "gypsumhub/platform/kv_client.h"

namespace gypsumhub {

namespace {

    constexpr auto peerCallLimit = milliseconds(400);
    // Registering and listing the nodes takes four round trips to a store in another region.
    constexpr auto firstNodesLimit = milliseconds(600);
    // A chain of three nodes that read one after another; a node that starts alone waits for none of it.
    constexpr auto startListLimit = milliseconds(900);
    constexpr auto startPause = milliseconds(30);
    // A configuration of 1,400 routes takes a link of 10 Mbit/s a quarter of a second.
    constexpr auto startCallLimit = milliseconds(700);

} // namespace

store_access::store_access(gateway_context& context, keyspace& store)
    : m_context(context)
    , m_store(store)
{
}

auto store_access::pause(duration length) -> task<>
{
    auto timer = steady_timer(m_context.io.get_executor());
    auto spread = duration { static_cast<int64_t>(static_cast<double>(length.ns) * (0.75 + 0.5 * m_context.random.unit())) };
    co_await sleepUntil(timer, bootClockNow() + spread);
}

auto store_access::noteStore(std::string_view call, keyspace_status status) -> bool
{
    auto isAnswered = status != keyspace_status::Unanswered && status != keyspace_status::Refused;
    if (!isAnswered) {
        ++m_context.counters.storeFailures;
        m_context.view.noteTrouble(bootClockNow());
    }
    if (isAnswered == m_isLost) {
        m_isLost = !isAnswered;
        m_lostSince = bootClockNow();
        m_context.log.write(log_class::Notable, m_isLost ? "store_lost" : "store_regained", { { "call", call }, { "status", static_cast<int>(status) } });
    }
    return status == keyspace_status::Ok;
}

auto store_access::pauseAfterFailure() -> task<>
{
    co_await pause(retryPause(m_isLost ? bootClockNow() - m_lostSince : duration {}));
}

auto store_access::listAtStart(std::string prefix) -> task<std::optional<key_listing>>
{
    for (auto limit = bootClockNow() + firstNodesLimit; !m_hasNodes && bootClockNow() < limit;)
        co_await pause(startPause);
    auto limit = bootClockNow() + startListLimit;
    auto sources = m_context.roster.startSources();
    for (auto source = sources.begin(); source != sources.end() && bootClockNow() < limit;) {
        auto listed = co_await askPeer(*source, prefix, bootClockNow() + startCallLimit);
        if (listed.status == keyspace_status::Ok) {
            m_context.log.write(log_class::Notable, "listed_at_peer", { { "node", *source }, { "prefix", prefix }, { "entries", listed.value.entries.size() } });
            co_return std::move(listed.value);
        }
        // A node that has started as well answers that it does not know yet; one that is gone does not answer.
        if (listed.status == keyspace_status::LeaseExpired)
            co_await pause(startPause);
        else
            ++source;
    }
    co_return std::nullopt;
}

auto store_access::askPeer(std::string node, std::string prefix, time_point deadline) -> task<keyspace_result<key_listing>>
{
    auto* peer = m_context.roster.find(node);
    if (!peer)
        co_return keyspace_result<key_listing> {};
    auto client = kv_client(m_context.io, peer->peerAddress);
    auto listed = co_await client.list(std::move(prefix), deadline);
    co_return listed;
}

auto store_access::listAtPeer(std::string node, std::string prefix) -> task<std::optional<key_listing>>
{
    auto listed = co_await askPeer(node, prefix, bootClockNow() + peerCallLimit);
    if (listed.status == keyspace_status::Ok)
        co_return std::move(listed.value);
    m_context.log.write(log_class::Notable, "peer_list_failed", { { "node", node }, { "prefix", prefix } });
    co_return std::nullopt;
}

auto store_access::listAt(std::string node, std::string prefix) -> task<keyspace_result<key_listing>>
{
    auto told = co_await listAtPeer(std::move(node), prefix);
    if (told)
        co_return keyspace_result<key_listing> { keyspace_status::Ok, std::move(*told) };
    auto listed = co_await m_store.list(prefix, bootClockNow() + storeCallLimit);
    noteStore("catch_up", listed.status);
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
