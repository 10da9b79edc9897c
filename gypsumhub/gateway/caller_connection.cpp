#include "gypsumhub/gateway/caller_connection.h"

#include "gypsumhub/core/clock.h"
#include "gypsumhub/core/socket_state.h"
#include "gypsumhub/gateway/request_deadline.h"
#include "gypsumhub/proxy/closing_connection.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/write.hpp>
#include <utility>

namespace gypsumhub {

namespace {

    // Bytes that are received ahead of the requests that may be read, at least.
    constexpr auto minReadAheadBytes = size_t { 64 * 1024 };
    // How often a connection that waits for memory, or whose read-ahead is full, is checked.
    constexpr auto spaceCheckInterval = milliseconds(100);
    // How often a stopping node that leaves bytes unread checks whether the last answer is written.
    constexpr auto holdCheckInterval = milliseconds(5);
    // In seconds. A large body takes about this long to pass through a node.
    constexpr auto memoryRetryAfter = std::string_view { "1" };

    auto limitsOf(const gateway_context& context) -> caller_limits
    {
        return context.routes ? context.routes->limits() : caller_limits {};
    }

    auto statusOf(result_code code, bool hasHeader) -> unsigned
    {
        if (code == result_code::RequestTooLarge)
            return hasHeader ? 413 : 431;
        if (code == result_code::QueueFull)
            return 503;
        return code == result_code::RequestTooSlow ? 408 : 400;
    }

} // namespace

caller_connection::caller_connection(gateway_context& context, tcp_socket socket)
    : m_context(context)
    , m_socket(std::move(socket))
    , m_readTimer(context.io.get_executor())
    , m_writer(m_socket)
    , m_spaceTimer(context.io.get_executor())
{
    setNoDelay(m_socket);
    auto ignored = error_code {};
    m_socket.non_blocking(true, ignored);
    m_callerAddress = m_socket.remote_endpoint(ignored).address().to_string();
    m_context.callers.add(*this);
}

caller_connection::~caller_connection()
{
    m_context.callers.remove(*this);
}

auto caller_connection::run() -> task<>
{
    m_receivedAt = bootClockNow();
    updateReadDeadline();
    for (auto isOpen = true; isOpen;) {
        isOpen = co_await receive();
        if (isOpen)
            co_await readRequests();
        releaseUnreadMemory();
        updateReadDeadline();
    }
    if (m_intake == intake::Closing)
        co_await finishClosing();
    handleCallerLeft();
}

auto caller_connection::end() -> bool
{
    auto isDelivered = !m_writer.isWriting() && unsentBytes(m_socket).value_or(0) == 0;
    // An answer that is cut cannot be saved, so requests behind it stay unread, and their caller learns that by a reset.
    if (m_writer.isWriting())
        return false;
    if (!isDelivered || m_intake == intake::Closing)
        closeBehindAnswer(m_socket);
    else if (m_isKeptByStop && m_pipeline.isEmpty())
        closeNow(m_socket);
    return isDelivered;
}

auto caller_connection::hasSpace() -> bool
{
    // A stopping node must answer what it has read, so it leaves a request unread that it may not start yet.
    if (m_context.shutdown.hasBegun() && !m_pipeline.hasRoom())
        return false;
    auto isShort = m_buffer.size() < std::max<size_t>(minReadAheadBytes, limitsOf(m_context).headerBytes + m_received.size());
    return isShort && m_unreadMemory.resize(m_buffer.size());
}

auto caller_connection::receive() -> task<bool>
{
    auto isOpen = co_await waitForSpace();
    if (!isOpen || m_intake == intake::Closing)
        co_return false;
    // A stopping node must answer what it has read, so it waits without reading and does not suspend between its decision to read and
    // the read.
    auto count = size_t { 0 };
    for (auto error = error_code(asio::error::would_block); error;) {
        if (error != asio::error::would_block)
            co_return false;
        auto [waitError] = co_await m_socket.async_wait(tcp_socket::wait_read, useTask);
        if (waitError)
            co_return false;
        // The stop may have begun during the wait.
        isOpen = co_await waitForSpace();
        co_await holdReading();
        if (!isOpen || m_intake == intake::Closing)
            co_return false;
        count = m_socket.read_some(asio::buffer(m_received), error);
    }
    m_receivedAt = bootClockNow();
    if (m_intake == intake::Requests)
        m_buffer.commit(asio::buffer_copy(m_buffer.prepare(count), asio::buffer(m_received.data(), count)));
    co_return true;
}

auto caller_connection::waitForSpace() -> task<bool>
{
    while (m_intake == intake::Unread || (m_intake == intake::Requests && (m_waitsForMemory || !hasSpace()))) {
        // A caller that has closed its side behind its requests still receives the last answer.
        if (!m_socket.is_open() || (m_intake == intake::Requests && hasPeerClosed(m_socket)))
            co_return false;
        co_await sleepUntil(m_spaceTimer, bootClockNow() + spaceCheckInterval);
        if (m_waitsForMemory)
            co_await readRequests();
        if (m_waitsForMemory && bootClockNow() >= m_memoryWaitUntil)
            refuseBytes(result_code::QueueFull);
    }
    co_return true;
}

auto caller_connection::releaseUnreadMemory() -> void
{
    if (m_buffer.size() == 0 && m_buffer.capacity() > 2 * m_received.size())
        m_buffer.shrink_to_fit();
    m_unreadMemory.resize(m_buffer.size());
}

auto caller_connection::holdReading() -> task<>
{
    while (m_intake != intake::Closing && bootClockNow() >= m_context.shutdown.stopsReadingAt())
        co_await sleepUntil(m_spaceTimer, bootClockNow() + holdCheckInterval);
}

auto caller_connection::hasUnreadBytes() -> bool
{
    auto isReading = bootClockNow() < m_context.shutdown.stopsReadingAt();
    return m_buffer.size() > 0 || m_reader || (isReading && unreadBytes(m_socket) > 0);
}

auto caller_connection::mayReadRequest() const -> bool
{
    // A caller that waits for "100 Continue" sends nothing until then.
    auto isExpected = m_reader && m_reader->state() == request_reader::progress::ExpectsContinue && m_pipeline.isEmpty();
    return m_intake == intake::Requests && (m_buffer.size() > 0 || m_waitsForMemory || isExpected) && m_pipeline.hasRoom();
}

auto caller_connection::reserveRequest() -> bool
{
    auto bytes = m_reader->memoryBytes();
    auto isReserved = m_requestMemory.resize(bytes);
    if (!isReserved && !m_waitsForMemory)
        m_memoryWaitUntil = statedDeadline(m_reader->head(), m_requestBeganAt).value_or(m_requestBeganAt + limitsOf(m_context).idleLimit);
    m_waitsForMemory = !isReserved;
    if (!isReserved && !m_context.buffers.canHold(bytes))
        refuseBytes(result_code::RequestTooLarge);
    return isReserved;
}

auto caller_connection::readRequests() -> task<>
{
    while (mayReadRequest()) {
        if (!m_reader) {
            auto limits = limitsOf(m_context);
            m_reader = std::make_unique<request_reader>(request_reader::limits { limits.headerBytes, limits.bodyBytes });
            m_requestBeganAt = bootClockNow();
        }
        auto data = m_buffer.data();
        m_buffer.consume(m_reader->feed({ static_cast<const char*>(data.data()), data.size() }));
        if (m_reader->state() != request_reader::progress::Failed && !reserveRequest())
            co_return;
        switch (m_reader->state()) {
        case request_reader::progress::NeedMore:
            co_return;
        case request_reader::progress::ExpectsContinue:
            // The interim answer must not appear between answers to earlier requests.
            if (!m_pipeline.isEmpty())
                co_return;
            co_await sendContinue();
            break;
        case request_reader::progress::Failed:
            refuseBytes(m_reader->fault());
            break;
        case request_reader::progress::Done: {
            // A refusal is written within the call, so the reader must not count as unread bytes any more.
            auto message = m_reader->release();
            m_reader.reset();
            addRequest(std::move(message));
            break;
        }
        }
    }
}

auto caller_connection::sendContinue() -> task<>
{
    constexpr auto proceed = std::string_view { "HTTP/1.1 100 Continue\r\n\r\n" };
    m_reader->resume();
    // From now on the next bytes are up to the caller.
    m_receivedAt = bootClockNow();
    auto wasWriting = std::exchange(m_isWriting, true);
    co_await asio::async_write(m_socket, asio::buffer(proceed), useTask);
    m_isWriting = wasWriting;
    if (!wasWriting)
        co_await writeReplies();
}

auto caller_connection::addRequest(inbound_message message) -> void
{
    auto added = pipelined_request { .isHead = message.method() == http::verb::head, .keepOpen = message.keep_alive(), .bodyBytes = message.body().size() };
    added.handler = std::make_shared<request_handler>(m_context, std::move(message), m_callerAddress, m_receivedAt);
    added.memory = std::exchange(m_requestMemory, buffer_budget::reservation(m_context.buffers, memory_use::Request));
    added.mayOverlap = added.handler->isRetryable();
    if (!added.keepOpen)
        m_intake = intake::Ignored;
    m_hasPipelined = m_hasPipelined || !m_pipeline.isEmpty();
    m_context.counters.pipelined += m_pipeline.isEmpty() ? 0 : 1;
    m_pipeline.add(std::move(added));
    startRequests();
}

auto caller_connection::refuseBytes(result_code fault) -> void
{
    auto hasHeader = m_reader && m_reader->hasHeader();
    ++m_context.counters.badRequests;
    m_context.log.write(log_class::Notable, "request_refused", { { "reason", describe(fault).name }, { "has_header", hasHeader } });
    m_intake = intake::Ignored;
    m_hasRefusedBytes = true;
    m_waitsForMemory = false;
    m_reader.reset();
    m_requestMemory.resize(0);
    auto reply = caller_reply(http::int_to_status(statusOf(fault, hasHeader)), 11);
    if (fault == result_code::QueueFull)
        reply.set(http::field::retry_after, memoryRetryAfter);
    m_pipeline.add({ .keepOpen = false, .isStarted = true, .reply = std::move(reply) });
    asio::co_spawn(
        m_context.io.get_executor(), [self = shared_from_this()]() -> task<> { co_await self->writeReplies(); }, asio::detached);
}

auto caller_connection::startRequests() -> void
{
    while (auto started = m_pipeline.startNext()) {
        asio::co_spawn(
            m_context.io.get_executor(),
            [self = shared_from_this(), started]() -> task<> {
                auto reply = co_await started->handler->run();
                started->reply = std::move(reply);
                co_await self->writeReplies();
            },
            asio::detached);
    }
}

auto caller_connection::writeReplies() -> task<>
{
    if (m_isWriting)
        co_return;
    m_isWriting = true;
    while (auto next = m_pipeline.nextToWrite()) {
        auto keepOpen = !closesWith(*next);
        m_isKeptByStop = keepOpen && m_context.shutdown.hasBegun();
        if (!keepOpen)
            m_intake = next->keepOpen ? intake::Unread : intake::Ignored;
        auto isWritten = co_await writeReply(*next, keepOpen);
        m_pipeline.removeFirst();
        if (!isWritten) {
            closeNow(m_socket);
            handleCallerLeft();
        } else if (!keepOpen) {
            m_pipeline.removeUnstarted();
            beginClosing();
        } else {
            startRequests();
            co_await readRequests();
        }
    }
    m_isWriting = false;
    if (m_hasCallerLeft && m_pipeline.isEmpty())
        closeNow(m_socket);
    else
        updateReadDeadline();
}

auto caller_connection::writeReply(pipelined_request& answered, bool keepOpen) -> task<bool>
{
    if (auto seconds = m_context.shutdown.idleSeconds(bootClockNow()); keepOpen && m_context.shutdown.hasBegun() && seconds > 0)
        answered.reply->set(http::field::keep_alive, "timeout=" + std::to_string(seconds));
    auto isWritten = co_await m_writer.write(*answered.reply, keepOpen, answered.isHead);
    m_context.counters.undeliveredAnswers += m_writer.isGivenUp() ? 1 : 0;
    co_return isWritten;
}

auto caller_connection::closesWith(const pipelined_request& answered) -> bool
{
    auto& shutdown = m_context.shutdown;
    if (!answered.keepOpen || !shutdown.hasBegun() || !m_pipeline.hasOne() || hasUnreadBytes())
        return !answered.keepOpen;
    // A stopping node closes the connection when it has answered all that it has read. A long answer takes time to write, and requests
    // that arrive meanwhile are served, so it announces the close only when its caller may find no time to use the connection again.
    auto now = bootClockNow();
    auto mayKeep = m_hasPipelined ? shutdown.idleSeconds(now) > 0 : now < shutdown.announcesCloseFrom();
    return !mayKeep || isSentAtOnce(answered.reply->body().size(), unsentBytes(m_socket));
}

auto caller_connection::beginClosing() -> void
{
    m_intake = intake::Closing;
    m_buffer.clear();
    m_readTimer.disarm();
    auto ignored = error_code {};
    m_socket.shutdown(tcp::socket::shutdown_send, ignored);
    // Ends the wait for bytes in `receive`.
    m_socket.cancel(ignored);
}

auto caller_connection::finishClosing() -> task<>
{
    auto closing = closing_connection(m_socket, m_hasRefusedBytes, limitsOf(m_context).bodyBytes);
    auto isDelivered = co_await closing.wait();
    m_context.counters.undeliveredAnswers += isDelivered ? 0 : 1;
    closeNow(m_socket);
}

auto caller_connection::isReadingRequest() const -> bool
{
    auto waitsForTurn = !m_pipeline.isEmpty() && (!m_pipeline.hasRoom() || (m_reader && m_reader->state() == request_reader::progress::ExpectsContinue));
    return m_intake == intake::Requests && m_reader && !waitsForTurn;
}

auto caller_connection::updateReadDeadline() -> void
{
    auto limits = limitsOf(m_context);
    auto deadline = never;
    if (m_intake == intake::Closing)
        deadline = never;
    else if (isReadingRequest())
        deadline = m_reader->hasHeader() ? m_receivedAt + limits.idleLimit : m_requestBeganAt + limits.headerReadLimit;
    else if (m_pipeline.isEmpty())
        deadline = bootClockNow() + limits.idleLimit;
    if (deadline == never || !m_socket.is_open() || m_hasCallerLeft)
        m_readTimer.disarm();
    else
        m_readTimer.arm(deadline, [this] { handleReadTimeout(); });
}

auto caller_connection::handleReadTimeout() -> void
{
    auto isDelivered = unsentBytes(m_socket).value_or(0) == 0;
    if (isReadingRequest())
        refuseBytes(result_code::RequestTooSlow);
    else if (!m_pipeline.isEmpty() || hasUnreadBytes())
        updateReadDeadline(); // A request has arrived at the same time.
    else if (!isDelivered)
        beginClosing();
    else
        closeNow(m_socket);
}

auto caller_connection::handleCallerLeft() -> void
{
    if (m_hasCallerLeft)
        return;
    m_hasCallerLeft = true;
    m_intake = intake::Ignored;
    m_readTimer.disarm();
    m_buffer.clear();
    m_pipeline.removeUnstarted();
    for (auto& open : m_pipeline.open()) {
        if (open->handler && !open->reply)
            open->handler->handleCallerLeft();
    }
    if (m_pipeline.isEmpty() && !m_isWriting)
        closeNow(m_socket);
}

} // namespace gypsumhub
