#include "gypsumhub/gateway/store_access.h"

#include "gypsumhub/core/clock.h"
#include "gypsumhub/platform/kv_client.h"

namespace gypsumhub {

namespace {

    constexpr auto peerCallLimit = milliseconds(400);

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
        m_context.log.write(log_class::Notable, m_isLost ? "store_lost" : "store_regained", { { "call", call }, { "status", static_cast<int>(status) } });
    }
    return status == keyspace_status::Ok;
}

auto store_access::listAt(std::string node, std::string prefix) -> task<keyspace_result<key_listing>>
{
    if (auto* peer = m_context.roster.find(node)) {
        auto client = kv_client(m_context.io, peer->peerAddress);
        auto listed = co_await client.list(prefix, bootClockNow() + peerCallLimit);
        if (listed.status == keyspace_status::Ok)
            co_return listed;
        m_context.log.write(log_class::Notable, "peer_list_failed", { { "node", node }, { "prefix", prefix } });
    }
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
