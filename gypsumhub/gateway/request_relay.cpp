#include "gypsumhub/gateway/request_relay.h"

#include "gypsumhub/core/clock.h"
#include "gypsumhub/decision/selection/relay_choice.h"
#include "gypsumhub/gateway/outbound_head.h"
#include "gypsumhub/platform/wire_names.h"

#include <algorithm>

namespace gypsumhub {

namespace {

    // Nodes that are tried in turn while none has taken the request.
    constexpr auto maxNodes = size_t { 3 };
    constexpr auto relayBackoff = milliseconds(500);
    // The other node answers by its own deadline, which is earlier, so that its answer arrives in time.
    constexpr auto deadlineMargin = milliseconds(8);

    auto isUnavailable(const exchange_result& result) -> bool
    {
        return result.end == exchange_end::Answered && result.answer[relay_fields::name] == relay_fields::unavailable;
    }

} // namespace

request_relay::request_relay(gateway_context& context)
    : m_context(context)
{
}

auto request_relay::isPossible(std::string_view service) const -> bool
{
    auto denied = m_context.relayDeniedUntil.find(service);
    return denied == m_context.relayDeniedUntil.end() || bootClockNow() >= denied->second;
}

auto request_relay::candidates(std::string_view host) -> std::vector<node_registration>
{
    auto nodes = m_context.memberView.helpers(host, bootClockNow());
    auto isNear = [&](auto& node) { return m_context.regionOf(node.dataCentre) == m_context.settings.region; };
    if (std::ranges::any_of(nodes, isNear))
        std::erase_if(nodes, [&](auto& node) { return !isNear(node); });
    return relayOrder(std::move(nodes), m_context.random);
}

auto request_relay::send(relayed_request request, std::shared_ptr<target_http_connection>& active, const bool& isCancelled) -> task<relay_result>
{
    auto nodes = candidates(request.host);
    nodes.resize(std::min(nodes.size(), maxNodes));
    for (auto& node : nodes) {
        auto connection = co_await open(node, request, active);
        if (isCancelled)
            co_return relay_result {};
        if (!connection)
            continue;
        ++m_context.counters.relayed;
        active = connection;
        auto result = co_await exchange(connection, request);
        active.reset();
        m_context.relayConnections.release(node.name, connection);
        if (!isUnavailable(result))
            co_return relay_result { std::move(result), node.name };
    }
    ++m_context.counters.relaysNotTaken;
    m_context.relayDeniedUntil[request.fields.service] = bootClockNow() + relayBackoff;
    co_return relay_result {};
}

auto request_relay::open(const node_registration& node, const relayed_request& request, std::shared_ptr<target_http_connection>& active) -> task<std::shared_ptr<target_http_connection>>
{
    auto now = bootClockNow();
    auto id = request.message[wire_names::requestId];
    if (auto kept = m_context.relayConnections.acquire(node.name, id, request.isRetryable, now))
        co_return kept;
    auto connection = std::make_shared<target_http_connection>(m_context.io, m_context.buffers);
    active = connection;
    // The other node recognizes this one by its address.
    connection->bindTo(m_context.settings.callerAddress.address);
    auto isOpen = co_await connection->connect(node.callerAddress, std::min(request.deadline, now + connectTimeout));
    active.reset();
    co_return isOpen ? connection : nullptr;
}

auto request_relay::exchange(std::shared_ptr<target_http_connection> connection, const relayed_request& request) -> task<exchange_result>
{
    auto left = request.deadline - bootClockNow() - deadlineMargin;
    auto head = outbound_head(request.message).setRelay(request.fields.text()).setCustomer(request.caller).setTimeLeft(left).build();
    auto outbound = outbound_request { std::move(head), request.body, std::string(request.message[wire_names::requestId]), request.message.method() == http::verb::head };
    auto active = m_context.attempts.insert(m_context.attempts.end(), { nullptr, bootClockNow(), false, connection });
    auto result = co_await connection->exchange(outbound, request.deadline);
    m_context.attempts.erase(active);
    co_return result;
}

} // namespace gypsumhub
