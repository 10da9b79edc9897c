#include "fakes/fake_target.h"

#include "gypsumhub/core/clock.h"
#include "gypsumhub/proxy/caller_request.h"
#include "gypsumhub/proxy/header_names.h"

#include <algorithm>
#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <charconv>
#include <cmath>
#include <sys/socket.h>

namespace gypsumhub {

namespace {

    constexpr auto faultNames = std::to_array<std::string_view>(
        { "none", "slow", "errors", "wrong", "cut", "silent", "hang", "drain", "shed", "dead-connections" });
    // A silent or hanging request ends after this time even if the peer does not close the connection.
    constexpr auto silenceLimit = std::chrono::seconds(60);

    auto numberParameter(std::string_view target, std::string_view name, uint32_t fallback) -> uint32_t
    {
        auto text = queryParameter(target, name);
        auto value = uint32_t { 0 };
        auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
        return error == std::errc {} && !text.empty() ? value : fallback;
    }

    auto identityOf(const http::request<http::string_body>& request) -> std::string
    {
        auto key = std::string(request[header_names::idempotencyKey]);
        return key.empty() ? std::string(request[header_names::requestId]) : key;
    }

    auto isPastDeadline(const http::request<http::string_body>& request) -> bool
    {
        auto text = std::string_view(request[header_names::deadline]);
        auto unixMs = int64_t { 0 };
        auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), unixMs);
        return error == std::errc {} && wallClockNow().ns / 1'000'000 >= unixMs;
    }

} // namespace

/// An accepted connection.
struct fake_target::connection {
    tcp_socket socket;
    beast::flat_buffer buffer {};
    // Value of m_faultRound when the connection was opened.
    uint64_t round { 0 };
};

auto fakeFaultFromName(std::string_view name) -> std::optional<fake_fault>
{
    auto found = std::ranges::find(faultNames, name);
    if (found == faultNames.end())
        return std::nullopt;
    return static_cast<fake_fault>(found - faultNames.begin());
}

fake_target::fake_target(settings settings)
    : m_settings(std::move(settings))
    , m_acceptor(m_ioContext, tcp::endpoint(asio::ip::make_address(m_settings.address), m_settings.port))
    , m_port(m_acceptor.local_endpoint().port())
    , m_random(m_settings.seed)
{
    asio::co_spawn(m_ioContext, acceptLoop(), asio::detached);
    m_thread = std::thread([this] { m_ioContext.run(); });
}

fake_target::~fake_target()
{
    m_ioContext.stop();
    m_thread.join();
}

auto fake_target::setFault(fake_fault fault, uint32_t permille, uint32_t factor) -> void
{
    m_permille = permille;
    m_factor = factor;
    ++m_faultRound;
    m_fault = fault;
}

auto fake_target::acceptLoop() -> task<>
{
    while (m_acceptor.is_open()) {
        auto [error, socket] = co_await m_acceptor.async_accept(m_ioContext, useTask);
        if (error)
            continue;
        ++m_connections;
        auto ignored = error_code {};
        socket.set_option(tcp::no_delay(true), ignored);
        auto opened = std::make_shared<connection>(connection { std::move(socket) });
        opened->round = m_faultRound;
        asio::co_spawn(m_ioContext, serve(opened), asio::detached);
    }
}

auto fake_target::serve(std::shared_ptr<connection> opened) -> task<>
{
    auto keepsOpen = true;
    while (keepsOpen) {
        auto parser = http::request_parser<http::string_body> {};
        parser.body_limit(boost::none);
        auto [error, bytes] = co_await http::async_read(opened->socket, opened->buffer, parser, useTask);
        if (error)
            break;
        auto request = parser.release();
        auto isControl = request.target().starts_with("/control/");
        if (isControl)
            keepsOpen = co_await control(*opened, request);
        else
            keepsOpen = co_await answer(*opened, request);
        keepsOpen = keepsOpen && request.keep_alive();
    }
}

auto fake_target::answer(connection& opened, const request_type& request) -> task<bool>
{
    auto keepsOpen = false;
    if (request.target().starts_with("/health")) {
        keepsOpen = co_await writeAnswer(opened, request, fake_fault::None);
        co_return keepsOpen;
    }
    ++m_received;
    auto fault = pickFault(opened);
    auto isFull = fault == fake_fault::Shed || m_inFlight >= m_settings.slots || isPastDeadline(request);
    if (fault == fake_fault::Drain) {
        keepsOpen = co_await decline(opened, request, "draining");
    } else if (isFull) {
        ++m_shed;
        keepsOpen = co_await decline(opened, request, "shed");
    } else {
        ++m_inFlight;
        m_maxInFlight = std::max(m_maxInFlight.load(), m_inFlight);
        keepsOpen = co_await execute(opened, request, fault);
        --m_inFlight;
    }
    co_return keepsOpen;
}

auto fake_target::execute(connection& opened, const request_type& request, fake_fault fault) -> task<bool>
{
    countExecution(request);
    auto finished = co_await waitServiceTime(opened, fault);
    if (!finished) {
        ++m_cancelled;
        co_return false;
    }
    auto keepsOpen = co_await writeAnswer(opened, request, fault);
    co_return keepsOpen;
}

auto fake_target::waitServiceTime(connection& opened, fake_fault fault) -> task<bool>
{
    auto mean = static_cast<double>(m_settings.serviceMicroseconds);
    auto wait = mean * (0.5 - 0.5 * std::log(1.0 - m_random.unit()));
    if (fault == fake_fault::Slow)
        wait *= m_factor;
    auto isSilent = fault == fake_fault::Silent || fault == fake_fault::DeadConnections;
    auto limit = isSilent ? std::chrono::microseconds(silenceLimit) : std::chrono::microseconds(static_cast<int64_t>(wait));
    if (limit.count() == 0)
        co_return true;
    // Waits for the timer or for the peer to close the connection, which cancels the timer.
    auto timer = std::make_shared<steady_timer>(m_ioContext);
    timer->expires_after(limit);
    auto closed = std::make_shared<bool>(false);
    opened.socket.async_wait(tcp_socket::wait_read, [timer, closed, &opened](const error_code& error) {
        auto byte = char {};
        *closed = !error && ::recv(opened.socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
        if (*closed)
            timer->cancel();
    });
    co_await timer->async_wait(useTask);
    if (!*closed)
        opened.socket.cancel();
    co_return !*closed && !isSilent;
}

auto fake_target::writeAnswer(connection& opened, const request_type& request, fake_fault fault) -> task<bool>
{
    auto isWrong = fault == fake_fault::Wrong;
    auto id = isWrong ? m_otherId : std::string(request[header_names::requestId]);
    auto response = http::response<http::string_body>(fault == fake_fault::Errors ? http::status::internal_server_error : http::status::ok, 11);
    if (!id.empty())
        response.set(header_names::requestId, id);
    response.set(http::field::content_type, "application/json");
    auto bytes = numberParameter(request.target(), "bytes", 0);
    auto body = boost::json::object {
        { "target", m_settings.name },
        { "path", pathOf(request.target()) },
        { "requestId", id },
        { "key", request[header_names::idempotencyKey] },
        { "padding", std::string(bytes, 'x') },
        { "end", true },
    };
    response.body() = boost::json::serialize(body);
    response.keep_alive(request.keep_alive());
    if (numberParameter(request.target(), "chunked", 0) == 1)
        response.chunked(true);
    else
        response.prepare_payload();
    if (request.method() == http::verb::head)
        response.body().clear();
    if (fault != fake_fault::Cut && fault != fake_fault::Hang) {
        auto [error, written] = co_await http::async_write(opened.socket, response, useTask);
        co_return !error;
    }
    // A cut answer has half of the body, a hanging one has none.
    auto fullBody = std::exchange(response.body(), {});
    auto serializer = http::response_serializer<http::string_body>(response);
    co_await http::async_write_header(opened.socket, serializer, useTask);
    auto half = fault == fake_fault::Cut ? fullBody.size() / 2 : 0;
    auto part = asio::const_buffer(fullBody.data(), half);
    if (response.chunked()) {
        auto chunk = http::make_chunk(part);
        co_await asio::async_write(opened.socket, chunk, useTask);
    } else {
        co_await asio::async_write(opened.socket, part, useTask);
    }
    if (fault == fake_fault::Hang)
        co_await waitServiceTime(opened, fake_fault::Silent);
    co_return false;
}

auto fake_target::decline(connection& opened, const request_type& request, std::string_view reason) -> task<bool>
{
    auto response = http::response<http::string_body>(http::status::service_unavailable, 11);
    response.set(header_names::declined, reason);
    response.set(header_names::requestId, request[header_names::requestId]);
    response.keep_alive(request.keep_alive());
    response.prepare_payload();
    auto [error, written] = co_await http::async_write(opened.socket, response, useTask);
    co_return !error;
}

auto fake_target::control(connection& opened, const request_type& request) -> task<bool>
{
    auto response = http::response<http::string_body>(http::status::ok, 11);
    auto path = pathOf(request.target());
    if (path == "/control/fault") {
        auto fault = fakeFaultFromName(queryParameter(request.target(), "kind"));
        if (fault)
            setFault(*fault, numberParameter(request.target(), "permille", 1000), numberParameter(request.target(), "factor", 3));
        else
            response.result(http::status::bad_request);
    } else if (path == "/control/counts") {
        response.body() = countsAsJson();
    } else {
        response.result(http::status::not_found);
    }
    response.keep_alive(request.keep_alive());
    response.prepare_payload();
    auto [error, written] = co_await http::async_write(opened.socket, response, useTask);
    co_return !error;
}

auto fake_target::pickFault(const connection& opened) -> fake_fault
{
    auto fault = m_fault.load();
    if (fault == fake_fault::DeadConnections)
        return opened.round < m_faultRound ? fault : fake_fault::None;
    return m_random.below(1000) < m_permille ? fault : fake_fault::None;
}

auto fake_target::countExecution(const request_type& request) -> void
{
    ++m_executed;
    auto identity = identityOf(request);
    if (!identity.empty())
        ++m_executions[identity];
    m_otherId = std::string(request[header_names::requestId]) + "-other";
}

auto fake_target::countsAsJson() const -> std::string
{
    auto executions = boost::json::object {};
    for (auto& [identity, count] : m_executions)
        executions[identity] = count;
    auto counts = boost::json::object {
        { "target", m_settings.name },
        { "received", m_received.load() },
        { "executed", m_executed.load() },
        { "shed", m_shed },
        { "cancelled", m_cancelled.load() },
        { "connections", m_connections.load() },
        { "maxInFlight", m_maxInFlight.load() },
        { "executions", std::move(executions) },
    };
    return boost::json::serialize(counts);
}

} // namespace gypsumhub
