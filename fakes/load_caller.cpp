#include "fakes/load_caller.h"

#include "gypsumhub/core/clock.h"
#include "gypsumhub/proxy/header_names.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/address.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <boost/json/parse.hpp>
#include <charconv>

namespace gypsumhub {

namespace {

    constexpr auto retryBackoff = std::chrono::milliseconds(30);
    // The caller waits for an answer until this long after the request's deadline.
    constexpr auto answerGrace = milliseconds(500);
    constexpr auto controlTimeout = seconds(5);
    constexpr auto maxRequestsPerTick = uint64_t { 1000 };

    auto parseAddress(std::string_view text) -> std::optional<endpoint>
    {
        auto colon = text.rfind(':');
        auto port = uint16_t { 0 };
        if (colon == std::string_view::npos)
            return std::nullopt;
        auto digits = text.substr(colon + 1);
        if (std::from_chars(digits.data(), digits.data() + digits.size(), port).ec != std::errc {})
            return std::nullopt;
        return endpoint { std::string(text.substr(0, colon)), port };
    }

    auto parseObject(const std::string& text) -> std::optional<boost::json::object>
    {
        auto error = error_code {};
        auto value = boost::json::parse(text, error);
        if (error || !value.is_object())
            return std::nullopt;
        return std::move(value.as_object());
    }

} // namespace

/// A connection to a node or a fake target. The timer closes it at the deadline of a request.
struct load_caller::connection {
    explicit connection(asio::io_context& context)
        : socket(context)
        , timer(context)
    {
    }

    tcp_socket socket;
    steady_timer timer;
    beast::flat_buffer buffer;
};

/// Result of one request on a connection; no response after a connection failure or timeout.
struct load_caller::exchange_result {
    std::optional<response_type> response;
    // Whether any byte may have been sent.
    bool sent { false };
};

load_caller::load_caller(settings settings)
    : m_settings(std::move(settings))
    , m_random(m_settings.seed)
    , m_prefix(std::to_string(wallClockNow().ns) + "-" + std::to_string(m_settings.seed))
{
}

auto load_caller::run() -> load_report
{
    asio::co_spawn(m_ioContext, schedule(), asio::detached);
    m_ioContext.run();
    m_idle.clear();
    m_ioContext.restart();
    asio::co_spawn(m_ioContext, readCounts(), asio::detached);
    m_ioContext.run();
    return std::move(m_report);
}

auto load_caller::schedule() -> task<>
{
    auto timer = steady_timer(m_ioContext);
    auto total = uint64_t { m_settings.requestsPerSecond } * m_settings.seconds;
    // Allocated in advance: coroutines in progress hold references to their records.
    m_report.requests.resize(total);
    auto startedAt = steadyClockNow();
    for (auto number = uint64_t { 0 }; number < total;) {
        auto spent = steadyClockNow() - startedAt;
        auto dueCount = std::min(total, static_cast<uint64_t>(spent.seconds() * m_settings.requestsPerSecond) + 1);
        for (auto sent = uint64_t { 0 }; number < dueCount && sent < maxRequestsPerTick; ++sent)
            asio::co_spawn(m_ioContext, sendOne(number++), asio::detached);
        timer.expires_after(std::chrono::milliseconds(1));
        co_await timer.async_wait(useTask);
    }
}

auto load_caller::sendOne(uint64_t number) -> task<>
{
    auto& record = m_report.requests[number];
    record.nonIdempotent = m_random.below(100) < m_settings.nonIdempotentPercent;
    auto startedAt = steadyClockNow();
    for (auto sent = uint32_t { 1 }; sent <= m_settings.maxAttempts; ++sent) {
        co_await attempt(record, record.nonIdempotent, static_cast<uint32_t>(number));
        record.milliseconds = (steadyClockNow() - startedAt).seconds() * 1e3;
        if (record.outcome == "answered")
            break;
        auto backoff = steady_timer(m_ioContext);
        backoff.expires_after(retryBackoff * sent);
        co_await backoff.async_wait(useTask);
    }
}

auto load_caller::attempt(request_record& record, bool nonIdempotent, uint32_t number) -> task<>
{
    co_await refreshNodes();
    ++record.attempts;
    auto name = m_prefix + "-" + std::to_string(number);
    auto id = name + "-" + std::to_string(record.attempts);
    auto deadline = wallClockNow() + milliseconds(m_settings.deadlineMs);
    auto method = nonIdempotent ? http::verb::post : http::verb::get;
    auto request = http::request<http::string_body>(method, m_settings.path, 11);
    request.set(http::field::host, m_settings.service);
    request.set(header_names::requestId, id);
    request.set(header_names::deadline, std::to_string(deadline.ns / 1'000'000));
    request.set(header_names::attempt, std::to_string(record.attempts));
    if (nonIdempotent) {
        request.set(header_names::idempotencyKey, name);
        request.body() = "{\"number\":" + std::to_string(number) + "}";
    }
    request.prepare_payload();
    auto identity = nonIdempotent ? name : id;
    if (record.identities.empty() || record.identities.back() != identity)
        record.identities.push_back(identity);

    auto end = exchange_result {};
    for (auto& address : std::vector(m_addresses)) {
        end = co_await exchange(address, request, deadline + answerGrace);
        if (end.response || end.sent)
            break;
    }
    if (end.response) {
        checkAnswer(record, id, *end.response);
        co_return;
    }
    record.outcome = end.sent ? "unknown" : "not-run";
    record.result = end.sent ? "connection-lost" : "connect-failed";
    record.alwaysNotRun = record.alwaysNotRun && !end.sent;
}

auto load_caller::checkAnswer(request_record& record, const std::string& id, const response_type& response) -> void
{
    record.outcome = response[header_names::outcome];
    record.result = response[header_names::result];
    record.alwaysNotRun = record.alwaysNotRun && record.outcome == "not-run";
    if (record.outcome != "answered")
        return;
    if (response.result_int() != 200)
        record.result += " " + std::to_string(response.result_int());
    auto body = parseObject(response.body());
    auto isComplete = body && body->contains("end") && body->contains("requestId");
    record.cutAnswer = record.cutAnswer || !isComplete;
    if (!isComplete)
        return;
    // A stored answer carries the request id of its first attempt, but the same idempotency key.
    auto answered = std::string(body->at("requestId").as_string());
    auto key = std::string(body->at("key").as_string());
    auto belongs = record.nonIdempotent ? key == record.identities.front() : answered == id;
    record.wrongAnswer = record.wrongAnswer || !belongs;
}

auto load_caller::exchange(const endpoint& address, const http::request<http::string_body>& request, time_point deadline)
    -> task<exchange_result>
{
    auto end = exchange_result {};
    auto opened = co_await connect(address);
    if (!opened)
        co_return end;
    opened->timer.expires_after(std::chrono::nanoseconds((deadline - wallClockNow()).ns));
    opened->timer.async_wait([opened](const error_code& error) {
        auto ignored = error_code {};
        if (!error)
            opened->socket.close(ignored);
    });
    end.sent = true;
    auto [writeError, written] = co_await http::async_write(opened->socket, request, useTask);
    auto parser = http::response_parser<http::string_body> {};
    parser.body_limit(boost::none);
    if (!writeError) {
        auto [readError, bytes] = co_await http::async_read(opened->socket, opened->buffer, parser, useTask);
        if (!readError)
            end.response = parser.release();
    }
    opened->timer.cancel();
    if (end.response && end.response->keep_alive())
        m_idle[address].push_back(opened);
    co_return end;
}

auto load_caller::connect(const endpoint& address) -> task<connection_ptr>
{
    auto& idle = m_idle[address];
    while (!idle.empty()) {
        auto opened = idle.back();
        idle.pop_back();
        // The socket is readable if the node has closed the connection in the meantime.
        opened->socket.non_blocking(true);
        auto byte = char {};
        auto error = error_code {};
        opened->socket.receive(asio::buffer(&byte, 1), asio::socket_base::message_peek, error);
        if (error == asio::error::would_block)
            co_return opened;
    }
    auto opened = std::make_shared<connection>(m_ioContext);
    auto remote = tcp::endpoint(asio::ip::make_address(address.address), address.port);
    auto [error] = co_await opened->socket.async_connect(remote, useTask);
    if (error)
        co_return nullptr;
    opened->socket.set_option(tcp::no_delay(true));
    co_return opened;
}

auto load_caller::refreshNodes() -> task<>
{
    if (wallClockNow() < m_addressesUntil && !m_addresses.empty())
        co_return;
    auto request = http::request<http::string_body>(http::verb::get, "/v1/nodes?service=" + m_settings.service, 11);
    request.set(http::field::host, m_settings.service);
    for (auto& node : m_settings.nodes) {
        auto end = co_await exchange(node, request, wallClockNow() + controlTimeout);
        if (!end.response || end.response->result_int() != 200)
            continue;
        auto body = parseObject(end.response->body());
        if (!body)
            continue;
        m_addresses.clear();
        for (auto& text : body->at("addresses").as_array())
            if (auto address = parseAddress(text.as_string()))
                m_addresses.push_back(*address);
        m_addressesUntil = { body->at("validUntil").as_int64() * 1'000'000 };
        co_return;
    }
}

auto load_caller::readCounts() -> task<>
{
    auto request = http::request<http::string_body>(http::verb::get, "/control/counts", 11);
    request.set(http::field::host, "target");
    m_report.hasCounts = !m_settings.targets.empty();
    for (auto& target : m_settings.targets) {
        auto end = co_await exchange(target, request, wallClockNow() + controlTimeout);
        auto body = end.response ? parseObject(end.response->body()) : std::nullopt;
        if (!body) {
            m_report.hasCounts = false;
            continue;
        }
        for (auto& item : body->at("executions").as_object())
            m_report.executions[std::string(item.key())] += static_cast<uint32_t>(item.value().to_number<uint64_t>());
    }
    m_idle.clear();
}

} // namespace gypsumhub
