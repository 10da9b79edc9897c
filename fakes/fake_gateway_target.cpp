#include "fakes/fake_gateway_target.h"

#include "fakes/target_answer.h"
#include "gypsumhub/core/clock.h"

#include <algorithm>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <sys/socket.h>

namespace gypsumhub {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

    // Closes the connection so that the peer sees a reset instead of an orderly end.
    auto reset(asio::ip::tcp::socket& socket) -> void
    {
        auto ignored = boost::system::error_code {};
        socket.set_option(asio::socket_base::linger(true, 0), ignored);
        socket.close(ignored);
    }

} // namespace

fake_gateway_target::fake_gateway_target(const std::string& address, std::string id)
    : m_incarnation { std::move(id), 0 }
    , m_reservation(m_context, asio::ip::tcp::v4())
    , m_acceptor(m_context)
{
    m_reservation.set_option(asio::socket_base::reuse_address(true));
    m_reservation.bind({ asio::ip::make_address(address), 0 });
    listen();
}

fake_gateway_target::~fake_gateway_target()
{
    {
        // Unblocks the pending accept, reads and writes. The descriptors stay open until their threads have ended.
        auto lock = std::lock_guard(m_mutex);
        goDown();
        for (auto socket : m_sockets)
            ::shutdown(socket, SHUT_RDWR);
    }
    if (m_acceptThread.joinable())
        m_acceptThread.join();
    for (auto& connection : m_connections)
        connection.join();
}

auto fake_gateway_target::listen() -> void
{
    m_acceptor = asio::ip::tcp::acceptor(m_context, m_reservation.local_endpoint());
    m_acceptThread = std::thread([this, current = m_incarnation] { acceptConnections(current); });
}

auto fake_gateway_target::acceptConnections(const incarnation& current) -> void
{
    auto error = boost::system::error_code {};
    for (;;) {
        auto socket = m_acceptor.accept(error);
        auto lock = std::lock_guard(m_mutex);
        if (!error && m_incarnation.number == current.number) {
            m_sockets.push_back(socket.native_handle());
            m_connections.emplace_back([this, current, accepted = std::move(socket)]() mutable { serve(std::move(accepted), current); });
            continue;
        }
        reset(socket);
        m_acceptor.close(error);
        return;
    }
}

auto fake_gateway_target::goDown() -> void
{
    if (m_isDown)
        return;
    m_isDown = true;
    ++m_incarnation.number;
    m_crashTimes.push_back(bootClockNow());
    m_wentDown.notify_all();
    // Stops listening at once. The threads that use the descriptors close them.
    ::shutdown(m_acceptor.native_handle(), SHUT_RDWR);
    for (auto socket : m_sockets)
        ::shutdown(socket, SHUT_RD);
}

auto fake_gateway_target::crash() -> void
{
    auto lock = std::lock_guard(m_mutex);
    goDown();
}

auto fake_gateway_target::crash(const incarnation& current) -> void
{
    auto lock = std::lock_guard(m_mutex);
    if (m_incarnation.number == current.number)
        goDown();
}

auto fake_gateway_target::restart(std::string id) -> void
{
    auto ended = std::thread {};
    {
        auto lock = std::lock_guard(m_mutex);
        // Another call may be restarting the target already.
        if (!m_isDown || !m_acceptThread.joinable())
            return;
        ended = std::move(m_acceptThread);
    }
    ended.join();
    auto lock = std::lock_guard(m_mutex);
    m_incarnation.id = std::move(id);
    m_isDown = false;
    listen();
}

auto fake_gateway_target::isDown() -> bool
{
    auto lock = std::lock_guard(m_mutex);
    return m_isDown;
}

auto fake_gateway_target::crashes() -> int
{
    return static_cast<int>(crashTimes().size());
}

auto fake_gateway_target::crashTimes() -> std::vector<time_point>
{
    auto lock = std::lock_guard(m_mutex);
    return m_crashTimes;
}

auto fake_gateway_target::id() -> std::string
{
    auto lock = std::lock_guard(m_mutex);
    return m_incarnation.id;
}

auto fake_gateway_target::setStatedLimit(std::string requestsPerSecond) -> void
{
    auto lock = std::lock_guard(m_mutex);
    m_statedLimit = std::move(requestsPerSecond);
}

auto fake_gateway_target::setRetryAfter(std::string seconds) -> void
{
    auto lock = std::lock_guard(m_mutex);
    m_retryAfter = std::move(seconds);
}

auto fake_gateway_target::pauseLine() -> std::string
{
    auto lock = std::lock_guard(m_mutex);
    return m_retryAfter.empty() ? std::string {} : "Retry-After: " + m_retryAfter + "\r\n";
}

auto fake_gateway_target::statementLines() -> std::string
{
    auto lock = std::lock_guard(m_mutex);
    auto limit = m_statedLimit.empty() ? std::string {} : "Server-Limit: " + m_statedLimit + "\r\n";
    return limit + (m_isLeaving ? "Server-Leaving: 1\r\n" : "");
}

auto fake_gateway_target::port() const -> uint16_t
{
    return m_reservation.local_endpoint().port();
}

auto fake_gateway_target::runs(const std::string& requestId) -> int
{
    auto lock = std::lock_guard(m_mutex);
    return static_cast<int>(std::ranges::count_if(m_arrivals, [&](auto& arrival) { return arrival.isRun && arrival.requestId == requestId; }));
}

auto fake_gateway_target::totalRuns() -> int
{
    auto lock = std::lock_guard(m_mutex);
    return static_cast<int>(std::ranges::count(m_arrivals, true, &recorded_request::isRun));
}

auto fake_gateway_target::arrivals() -> std::vector<recorded_request>
{
    auto lock = std::lock_guard(m_mutex);
    return m_arrivals;
}

auto fake_gateway_target::recordArrival(const std::string& requestId, bool isRun, const incarnation& current, std::string callerFields) -> bool
{
    auto lock = std::lock_guard(m_mutex);
    if (m_incarnation.number != current.number)
        return false;
    m_arrivals.push_back({ requestId, bootClockNow(), isRun, std::move(callerFields) });
    return true;
}

auto fake_gateway_target::work(std::chrono::nanoseconds time, const incarnation& current) -> bool
{
    auto lock = std::unique_lock(m_mutex);
    return !m_wentDown.wait_for(lock, time, [&] { return m_incarnation.number != current.number; });
}

auto fake_gateway_target::serve(asio::ip::tcp::socket socket, const incarnation& current) -> void
{
    serveRequests(socket, current);
    // Removed before the descriptor is closed, since a new socket may reuse its number.
    auto lock = std::lock_guard(m_mutex);
    std::erase(m_sockets, socket.native_handle());
    if (m_incarnation.number != current.number)
        return reset(socket);
    // The destructor of a socket ignores its linger option.
    auto ignored = boost::system::error_code {};
    socket.close(ignored);
}

auto fake_gateway_target::serveRequests(asio::ip::tcp::socket& socket, const incarnation& current) -> void
{
    auto buffer = boost::beast::flat_buffer {};
    auto rejection = std::string {};
    for (;;) {
        auto parser = http::request_parser<http::string_body> {};
        parser.body_limit(boost::none);
        auto error = boost::system::error_code {};
        http::read(socket, buffer, parser, error);
        if (error)
            break;
        auto request = parser.release();
        auto id = std::string(request["Request-Id"]);
        auto send = [&](const std::string& text) { asio::write(socket, asio::buffer(text), error); };
        auto behaviour = m_behaviour.load();
        if (request["Target-Instance"] != current.id) {
            send("HTTP/1.1 421 X\r\nRequest-Id: " + id + "\r\nContent-Length: 0\r\n\r\n");
            continue;
        }
        auto isRejecting = behaviour == target_behaviour::Sheds || (behaviour == target_behaviour::RepeatsRejection && rejection.empty());
        if (isRejecting) {
            recordArrival(id, false, current);
            rejection = "HTTP/1.1 503 X\r\nRequest-Id: " + id + "\r\n" + statementLines() + pauseLine() + "Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
            send(rejection);
            continue;
        }
        if (behaviour == target_behaviour::RepeatsRejection)
            send(rejection);
        auto callerFields = std::string {};
        for (auto name : { "Authorization", "Tenant", "Gypsumhub-Customer" })
            callerFields += std::string(request[name]) + ";";
        if (!recordArrival(id, true, current, std::move(callerFields)))
            break;
        auto delay = std::string(request[delayField]);
        auto serviceTime = delay.empty() ? std::chrono::nanoseconds(m_serviceTimeNs.load()) : std::chrono::nanoseconds(std::chrono::milliseconds(std::stol(delay)));
        // A target stops work when the time left that it received is over.
        auto left = std::string(request["Deadline-Ms"]);
        auto limit = std::chrono::nanoseconds(left.empty() ? std::chrono::hours(1) : std::chrono::milliseconds(std::stol(left)));
        if (!work(std::min<std::chrono::nanoseconds>(serviceTime, limit), current))
            break;
        if (request.count(crashField) > 0) {
            crash(current);
            break;
        }
        auto answer = makeAnswer(serviceTime > limit ? 504 : behaviour == target_behaviour::Fails ? 500
                                                                                                  : 200,
            id, current.id, statementLines());
        if (auto endless = endlessBytes(behaviour); !endless.first.empty()) {
            send(endless.first);
            while (!error)
                send(endless.second);
            break;
        }
        if (auto broken = brokenBytes(behaviour, id); !broken.empty()) {
            send(broken);
            if (behaviour == target_behaviour::ResetsUnframed) {
                // Lets the bytes arrive before the reset discards them.
                std::this_thread::sleep_for(std::chrono::milliseconds(50));
                socket.set_option(asio::socket_base::linger(true, 0), error);
            }
            break;
        }
        if (behaviour == target_behaviour::DripsLastChunk) {
            send("HTTP/1.1 200 X\r\nRequest-Id: " + id + "\r\nUpstream-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n");
            for (auto byte : std::string_view("0\r\n\r\n")) {
                std::this_thread::sleep_for(std::chrono::milliseconds(10));
                send(std::string(1, byte));
            }
            continue;
        }
        if (behaviour == target_behaviour::AnswersWithoutId)
            send("HTTP/1.1 200 X\r\nUpstream-Signature: s\r\nContent-Length: 9\r\n\r\nlate copy");
        if (behaviour == target_behaviour::AnswersOtherRequest)
            send(makeAnswer(200, "another", "another"));
        if (behaviour == target_behaviour::Drops || behaviour == target_behaviour::Cuts) {
            if (behaviour == target_behaviour::Cuts)
                send(answer.substr(0, answer.size() - 3));
            break;
        }
        send(answer);
        if (error)
            break;
    }
}

} // namespace gypsumhub
