#include "soak/soak_caller.h"

#include "gypsumhub/config/section_reader.h"
#include "gypsumhub/core/clock.h"
#include "gypsumhub/core/deadline_timer.h"

#include <algorithm>
#include <boost/asio/ip/address.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/value_to.hpp>

namespace gypsumhub {

namespace {

    // Timeout that callers of the users' platform apply to one directory.
    constexpr auto directoryTimeout = milliseconds(1000);
    constexpr auto directoryLifetime = milliseconds(2000);
    constexpr auto connectTimeout = milliseconds(1000);
    constexpr auto callDeadline = milliseconds(4000);
    // Allows for the transfer of an answer at the deadline on a busy machine.
    constexpr auto callGrace = milliseconds(1000);
    constexpr auto retryPause = milliseconds(50);

    auto toAsioEndpoint(const endpoint& address) -> tcp::endpoint
    {
        return { asio::ip::make_address(address.address), address.port };
    }

} // namespace

auto fetch(asio::io_context& context, endpoint server, std::string target, time_point deadline) -> task<http::response<http::string_body>>
{
    auto socket = tcp_socket(context.get_executor());
    auto timer = deadline_timer(context.get_executor());
    timer.arm(deadline, [&socket] { closeNow(socket); });
    auto none = http::response<http::string_body> {};
    none.result(0U);
    auto [connectError] = co_await socket.async_connect(toAsioEndpoint(server), useTask);
    if (connectError)
        co_return none;
    auto request = http::request<http::empty_body>(http::verb::get, target, 11);
    request.set(http::field::host, formatEndpoint(server));
    auto [writeError, written] = co_await http::async_write(socket, request, useTask);
    if (writeError)
        co_return none;
    auto buffer = beast::flat_buffer {};
    auto answer = http::response<http::string_body> {};
    auto [readError, read] = co_await http::async_read(socket, buffer, answer, useTask);
    if (readError)
        co_return none;
    co_return answer;
}

soak_caller::soak_caller(asio::io_context& context, std::span<const node_addresses> nodes, uint64_t seed, std::string name)
    : m_context(context)
    , m_nodes(nodes)
    , m_random(seed)
    , m_name(std::move(name))
    , m_socket(context.get_executor())
{
}

auto soak_caller::pause(duration length) -> task<>
{
    auto timer = steady_timer(m_context.get_executor());
    co_await sleepUntil(timer, bootClockNow() + length);
}

auto soak_caller::run() -> task<>
{
    while (!m_isStopping) {
        if (bootClockNow() >= m_resolvedUntil)
            co_await resolve();
        // Closes the connection to a node that the directory no longer lists.
        if (m_node && std::ranges::find(m_resolved, m_nodes[*m_node].callers) == m_resolved.end()) {
            closeNow(m_socket);
            m_node.reset();
        }
        if (!m_node) {
            auto isConnected = co_await connect();
            if (!isConnected) {
                co_await pause(retryPause);
                continue;
            }
        }
        co_await call();
        co_await pause(milliseconds(5 + static_cast<int64_t>(m_random.below(25))));
    }
}

auto soak_caller::resolve() -> task<>
{
    auto& directoryNode = m_nodes[m_random.below(m_nodes.size())];
    auto answer = co_await fetch(m_context, directoryNode.directory, "/gypsumhub/resolve?name=h.example&region=a&data_centre=a1", bootClockNow() + directoryTimeout);
    auto error = error_code {};
    auto document = boost::json::parse(answer.body(), error);
    if (answer.result_int() != 200 || error || !document.is_object() || !document.as_object().contains("addresses"))
        co_return;
    m_resolved.clear();
    for (auto& text : document.at("addresses").as_array()) {
        if (auto address = parseEndpoint(boost::json::value_to<std::string>(text)))
            m_resolved.push_back(*address);
    }
    m_resolvedUntil = bootClockNow() + directoryLifetime;
}

auto soak_caller::connect() -> task<bool>
{
    if (m_resolved.empty())
        co_return false;
    auto chosen = m_resolved[m_random.below(m_resolved.size())];
    auto node = std::ranges::find(m_nodes, chosen, &node_addresses::callers);
    m_socket = tcp_socket(m_context.get_executor());
    m_buffer.clear();
    auto timer = deadline_timer(m_context.get_executor());
    timer.arm(bootClockNow() + connectTimeout, [this] { closeNow(m_socket); });
    auto [error] = co_await m_socket.async_connect(toAsioEndpoint(chosen), useTask);
    if (error || node == m_nodes.end()) {
        // Resolves again, since the directory may list another node now.
        m_resolvedUntil = {};
        co_return false;
    }
    m_node = static_cast<uint32_t>(node - m_nodes.begin());
    co_return true;
}

auto soak_caller::call() -> task<>
{
    auto record = soak_call {};
    record.id = m_name + "-" + std::to_string(++m_count);
    record.isRetryable = m_random.below(2) == 0;
    record.node = *m_node;
    record.sentAt = bootClockNow();
    auto request = http::request<http::string_body>(record.isRetryable ? http::verb::get : http::verb::post, record.isRetryable ? "/safe/x" : "/unsafe/x", 11);
    request.set(http::field::host, "h.example");
    request.set("Request-Id", record.id);
    request.set("Deadline-Ms", std::to_string(callDeadline.milliseconds()));
    request.prepare_payload();
    auto timer = deadline_timer(m_context.get_executor());
    timer.arm(record.sentAt + callDeadline + callGrace, [this, &record] {
        record.isOverdue = true;
        closeNow(m_socket);
    });
    auto answer = http::response<http::string_body> {};
    auto keepAlive = false;
    auto [writeError, written] = co_await http::async_write(m_socket, request, useTask);
    if (!writeError) {
        auto [readError, read] = co_await http::async_read(m_socket, m_buffer, answer, useTask);
        if (!readError) {
            record.status = answer.result_int();
            record.answeredId = std::string(answer["Request-Id"]);
            record.target = std::string(answer["Upstream-Signature"]);
            keepAlive = answer.keep_alive();
        }
    }
    timer.disarm();
    record.endedAt = bootClockNow();
    m_calls.push_back(std::move(record));
    if (!keepAlive) {
        closeNow(m_socket);
        m_node.reset();
    }
}

} // namespace gypsumhub
