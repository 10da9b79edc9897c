#include "gypsumhub/proxy/caller_session.h"

#include "gypsumhub/core/clock.h"
#include "gypsumhub/proxy/closing_connection.h"
#include "gypsumhub/proxy/message_fields.h"
#include "gypsumhub/proxy/nodes_answer.h"
#include "gypsumhub/proxy/peer_hop.h"
#include "gypsumhub/proxy/request_dispatcher.h"

#include <algorithm>
#include <boost/asio/write.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/write.hpp>
#include <cerrno>
#include <sys/socket.h>

namespace gypsumhub {

namespace {

    constexpr auto headReadBytes = size_t { 4 * 1024 };
    constexpr auto bodyReadBytes = size_t { 64 * 1024 };

    auto viewOf(const beast::flat_buffer& buffer) -> std::span<const char>
    {
        auto data = buffer.cdata();
        return { static_cast<const char*>(data.data()), data.size() };
    }

} // namespace

caller_session::caller_session(tcp_socket socket, thread_resources& thread, session_registry& registry)
    : m_socket(std::move(socket))
    , m_thread(thread)
    , m_context(thread.context)
    , m_registry(registry)
    , m_position(registry.add(*this))
    , m_timeoutTimer(m_socket.get_executor())
{
    auto ignored = error_code {};
    m_socket.set_option(tcp::no_delay(true), ignored);
}

caller_session::~caller_session()
{
    m_registry.remove(m_position, m_phase != phase::Busy);
    decrement(m_context.counters.connectionsOpen);
}

auto caller_session::run() -> task<>
{
    auto self = shared_from_this();
    try {
        co_await serve();
    } catch (const std::exception&) {
        // Out of memory or a broken invariant. Only this connection fails; the others continue.
        m_context.counters.countResult(result_code::Internal);
        resetConnection();
    }
    cancelTimeout();
    close();
}

auto caller_session::refuse() -> task<>
{
    auto self = shared_from_this();
    m_context.counters.countResult(result_code::TooManyConnections);
    auto refusal = makeRefusal(result_code::TooManyConnections, {});
    co_await writeAnswer(std::move(refusal), false);
    m_hasRefusedBytes = true;
    co_await closeGracefully();
}

auto caller_session::serve() -> task<>
{
    auto keepOpen = true;
    while (keepOpen) {
        auto reservation = buffer_reservation(m_context);
        auto received = co_await readRequest(reservation);
        if (received.fault != result_code::Ok) {
            m_context.counters.countResult(received.fault);
            auto refusal = makeRefusal(received.fault, {});
            co_await writeAnswer(std::move(refusal), false);
            m_hasRefusedBytes = true;
            break;
        }
        if (!received.message)
            break;
        setPhase(phase::Busy);
        increment(m_context.counters.requestsInFlight);
        keepOpen = co_await handle(std::move(*received.message));
        decrement(m_context.counters.requestsInFlight);
        setPhase(phase::Idle);
        m_keptAt = steadyClockNow();
    }
    if (m_closesBehindAnswer)
        co_await closeGracefully();
}

auto caller_session::readRequest(buffer_reservation& reservation) -> task<read_outcome>
{
    auto& settings = m_context.settings;
    auto reader = request_reader({ settings.maxHeaderBytes, settings.maxBodyBytes });
    auto continueSent = false;
    startTimeout(settings.idleLimit);
    while (true) {
        if (m_buffer.size() > 0) {
            if (m_phase == phase::Idle) {
                setPhase(phase::Reading);
                startTimeout(settings.requestReadLimit);
            }
            m_buffer.consume(reader.feed(viewOf(m_buffer)));
        }
        auto end = read_outcome {};
        switch (reader.state()) {
        case request_reader::progress::Done:
            end.message = reader.release();
            co_return end;
        case request_reader::progress::Failed:
            end.fault = reader.fault();
            co_return end;
        case request_reader::progress::ExpectsContinue:
            reader.resume();
            if (!continueSent)
                continueSent = co_await sendContinue();
            if (!continueSent)
                co_return end;
            continue;
        case request_reader::progress::NeedMore:
            break;
        }
        if (!reservation.growTo(reader.bodyBytes())) {
            end.fault = result_code::QueueFull;
            co_return end;
        }
        auto maxBytes = reader.hasHeader() ? bodyReadBytes : headReadBytes;
        auto received = co_await receive(maxBytes);
        if (received)
            continue;
        if (m_expired && m_phase == phase::Reading)
            end.fault = result_code::RequestTooSlow;
        co_return end;
    }
}

auto caller_session::receive(size_t maxBytes) -> task<bool>
{
    auto space = m_buffer.prepare(maxBytes);
    auto [error, received] = co_await m_socket.async_read_some(space, useTask);
    if (error || m_expired)
        co_return false;
    m_buffer.commit(received);
    co_return true;
}

auto caller_session::sendContinue() -> task<bool>
{
    constexpr auto text = std::string_view { "HTTP/1.1 100 Continue\r\n\r\n" };
    auto [error, written] = co_await asio::async_write(m_socket, asio::buffer(text), useTask);
    co_return !error;
}

auto caller_session::handle(inbound_message message) -> task<bool>
{
    auto startedAt = steadyClockNow();
    auto request = caller_request { std::move(message) };
    m_keepAlive = request.message.keep_alive() && request.message.version() == 11;
    m_acceptsChunks = request.message.version() == 11;
    m_cancellation = {};
    auto code = readGypsumhubFields(request, m_thread.random);
    m_requestId = request.id;
    request.span = request_span::start(m_context.tracer.get(), "caller", request.traceparent);
    request.span.tag("requestId", request.id);
    auto answer = caller_answer {};
    if (code != result_code::Ok) {
        answer = makeRefusal(code, request.id);
    } else {
        startDisconnectWatch();
        answer = co_await route(request);
        stopDisconnectWatch();
    }
    auto spent = steadyClockNow() - startedAt;
    m_context.counters.requestMicroseconds.fetch_add(static_cast<uint64_t>(spent.ns / 1000), std::memory_order_relaxed);
    m_context.counters.countResult(answer.code);
    request.span.tag("result", static_cast<uint64_t>(answer.code));
    if (answer.cut) {
        increment(m_context.counters.streamedAnswersCut);
        resetConnection();
        co_return false;
    }
    if (m_cancellation.cancelled())
        co_return false;
    if (answer.streamed) {
        m_closesBehindAnswer = !m_keepAlive;
        co_return m_keepAlive&& m_socket.is_open();
    }
    auto keepAlive = m_keepAlive && !isLastBeforeStop();
    auto written = co_await writeAnswer(std::move(answer), keepAlive);
    co_return written;
}

auto caller_session::isLastBeforeStop() const -> bool
{
    return m_context.stopping.load(std::memory_order_relaxed) && m_buffer.size() == 0;
}

auto caller_session::route(caller_request& request) -> task<caller_answer>
{
    auto snapshot = m_context.snapshot.load();
    if (!snapshot || !snapshot->config)
        co_return makeRefusal(result_code::NodeNotReady, request.id);
    auto target = std::string_view(request.message.target());
    if (pathOf(target) == nodesPath)
        co_return answerNodes(m_context, *snapshot, request, m_thread.random);
    auto service = snapshot->findRoute(target);
    if (!service)
        co_return makeRefusal(result_code::UnknownService, request.id);
    auto now = m_context.now();
    if (request.deadline == never)
        request.deadline = now + service->spec->rules.defaultDeadline;
    if (now >= request.deadline)
        co_return makeRefusal(result_code::DeadlineBeforeSend, request.id);
    // The sender has another version of the configuration than this node; after this refusal it tries another member.
    if (!service->servedHere && request.forwarded)
        co_return makeRefusal(result_code::NodeNotReady, request.id);
    if (!service->servedHere) {
        auto hop = peer_hop(m_thread, request, *service, *this, m_cancellation);
        auto answer = co_await hop.run();
        co_return answer;
    }
    auto dispatcher = request_dispatcher(m_thread, request, *service, *this, m_cancellation);
    auto answer = co_await dispatcher.run();
    co_return answer;
}

auto caller_session::writeAnswer(caller_answer answer, bool keepAlive) -> task<bool>
{
    answer.message.keep_alive(keepAlive);
    startTimeout(m_context.settings.requestReadLimit);
    auto [error, written] = co_await http::async_write(m_socket, answer.message, useTask);
    cancelTimeout();
    m_closesBehindAnswer = !error && !keepAlive;
    co_return !error && keepAlive;
}

auto caller_session::closeGracefully() -> task<>
{
    setPhase(phase::Closing);
    cancelTimeout();
    m_buffer.clear();
    auto closing = closing_connection(m_socket, m_hasRefusedBytes, m_context.settings.maxBodyBytes);
    co_await closing.wait();
    close();
}

auto caller_session::resetConnection() -> void
{
    // Sends a reset, because an answer that is delimited by the end of the connection would otherwise seem complete.
    auto ignored = error_code {};
    m_socket.set_option(asio::socket_base::linger(true, 0), ignored);
    close();
}

auto caller_session::close() -> bool
{
    if (!m_socket.is_open())
        return false;
    auto ignored = error_code {};
    m_socket.close(ignored);
    return true;
}

auto caller_session::cancel() -> void
{
    m_cancellation.cancel();
    if (m_phase == phase::Closing)
        closeBehindAnswer(m_socket);
    close();
}

auto caller_session::closeIfIdle() -> void
{
    // Unread bytes in the socket are the start of a request.
    auto byte = char {};
    auto isIdle = m_phase == phase::Idle && steadyClockNow() >= m_keptAt + callerPause && ::recv(m_socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) <= 0;
    if (isIdle)
        close();
}

auto caller_session::setPhase(phase next) -> void
{
    auto wasWaiting = m_phase != phase::Busy;
    m_phase = next;
    if (next == phase::Busy)
        m_registry.moveToBusy(m_position);
    else
        m_registry.moveToWaiting(m_position, wasWaiting);
}

auto caller_session::begin(http::response_header<> head, std::optional<uint64_t> length) -> task<bool>
{
    stopDisconnectWatch();
    removeConnectionFields(head);
    auto message = http::response<http::empty_body>(std::move(head));
    message.version(11);
    m_chunked = !length && m_acceptsChunks;
    m_keepAlive = m_keepAlive && (length || m_chunked) && !isLastBeforeStop();
    if (length)
        message.content_length(*length);
    else if (m_chunked)
        message.chunked(true);
    message.keep_alive(m_keepAlive);
    setOutcomeFields(message, result_code::Ok, request_outcome::Answered, m_requestId);
    auto serializer = http::response_serializer<http::empty_body>(message);
    startTimeout(m_context.settings.requestReadLimit);
    auto [error, written] = co_await http::async_write_header(m_socket, serializer, useTask);
    co_return !error;
}

auto caller_session::write(std::string_view part) -> task<bool>
{
    if (part.empty())
        co_return true;
    startTimeout(m_context.settings.requestReadLimit);
    auto buffer = asio::const_buffer(part.data(), part.size());
    if (m_chunked) {
        auto chunk = http::make_chunk(buffer);
        auto [error, written] = co_await asio::async_write(m_socket, chunk, useTask);
        co_return !error;
    }
    auto [error, written] = co_await asio::async_write(m_socket, buffer, useTask);
    co_return !error;
}

auto caller_session::end() -> task<bool>
{
    if (m_chunked) {
        auto last = http::make_chunk_last();
        auto [error, written] = co_await asio::async_write(m_socket, last, useTask);
        if (error)
            co_return false;
    }
    cancelTimeout();
    co_return true;
}

auto caller_session::startTimeout(duration limit) -> void
{
    m_expired = false;
    m_timeoutTimer.expires_after(std::chrono::nanoseconds(limit.ns));
    m_timeoutTimer.async_wait([self = shared_from_this(), generation = ++m_timeoutGeneration](const error_code& error) {
        if (error || generation != self->m_timeoutGeneration)
            return;
        self->m_expired = true;
        auto ignored = error_code {};
        // After a read timeout the refusal must still be sent; after a write timeout the connection is unusable.
        if (self->m_phase == phase::Busy)
            self->m_socket.close(ignored);
        else
            self->m_socket.cancel(ignored);
    });
}

auto caller_session::cancelTimeout() -> void
{
    ++m_timeoutGeneration;
    m_timeoutTimer.cancel();
}

auto caller_session::startDisconnectWatch() -> void
{
    m_watchesDisconnect = true;
    m_socket.async_wait(tcp_socket::wait_read, [self = shared_from_this(), generation = ++m_watchGeneration](const error_code& error) {
        if (!error && self->m_watchesDisconnect && generation == self->m_watchGeneration)
            self->onReadable();
    });
}

auto caller_session::stopDisconnectWatch() -> void
{
    if (!m_watchesDisconnect)
        return;
    m_watchesDisconnect = false;
    auto ignored = error_code {};
    m_socket.cancel(ignored);
}

auto caller_session::onReadable() -> void
{
    auto byte = char {};
    auto received = ::recv(m_socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    // A pipelined request is read later. It hides a following end of stream; writing the answer detects that.
    if (received > 0)
        return;
    if (received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
        return startDisconnectWatch();
    m_cancellation.cancel();
}

} // namespace gypsumhub
