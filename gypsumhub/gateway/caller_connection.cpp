#include "gypsumhub/gateway/caller_connection.h"

#include "gypsumhub/core/clock.h"

#include <boost/asio/write.hpp>
#include <sys/socket.h>

namespace gypsumhub {

namespace {

    constexpr auto readChunk = size_t { 8 * 1024 };
    // A caller that does not read its answer within this time is considered gone.
    constexpr auto writeTimeout = seconds(10);
    // Time for the caller to read a refusal. Closing the connection with unread request bytes resets it.
    constexpr auto lingerTimeout = milliseconds(300);

    auto limitsOf(const gateway_context& context) -> caller_limits
    {
        return context.routes ? context.routes->limits() : caller_limits {};
    }

    auto statusOf(result_code code, bool hasHeader) -> unsigned
    {
        if (code == result_code::RequestTooLarge)
            return hasHeader ? 413 : 431;
        return code == result_code::RequestTooSlow ? 408 : 400;
    }

} // namespace

caller_connection::caller_connection(gateway_context& context, tcp_socket socket)
    : m_context(context)
    , m_socket(std::move(socket))
    , m_timer(context.io.get_executor())
{
    setNoDelay(m_socket);
}

auto caller_connection::run() -> task<>
{
    for (auto isOpen = true; isOpen;) {
        auto limits = limitsOf(m_context);
        auto reader = request_reader({ limits.headerBytes, limits.bodyBytes });
        auto ended = co_await readRequest(reader);
        switch (ended) {
        case read_end::Request:
            isOpen = co_await answerRequest(reader.release());
            break;
        case read_end::Failed: {
            // The reader reports no fault when the caller was too slow.
            auto fault = reader.fault() == result_code::Ok ? result_code::RequestTooSlow : reader.fault();
            ++m_context.counters.badRequests;
            m_context.log.write(log_class::Notable, "request_refused",
                { { "reason", describe(fault).name }, { "has_header", reader.hasHeader() } });
            co_await answerFault(statusOf(fault, reader.hasHeader()));
            isOpen = false;
            break;
        }
        case read_end::Closed:
            isOpen = false;
            break;
        }
    }
    closeNow(m_socket);
}

auto caller_connection::readRequest(request_reader& reader) -> task<read_end>
{
    auto limits = limitsOf(m_context);
    auto hasBegun = m_buffer.size() > 0;
    auto isLate = false;
    auto cancelRead = [this, &isLate] {
        isLate = true;
        auto ignored = error_code {};
        m_socket.cancel(ignored);
    };
    m_timer.arm(bootClockNow() + (hasBegun ? limits.headerReadLimit : limits.idleLimit), cancelRead);
    for (;;) {
        auto data = m_buffer.data();
        m_buffer.consume(reader.feed({ static_cast<const char*>(data.data()), data.size() }));
        if (reader.state() == request_reader::progress::Done || reader.state() == request_reader::progress::Failed)
            break;
        if (reader.state() == request_reader::progress::ExpectsContinue) {
            constexpr auto proceed = std::string_view { "HTTP/1.1 100 Continue\r\n\r\n" };
            co_await asio::async_write(m_socket, asio::buffer(proceed), useTask);
            reader.resume();
        }
        auto [error, count] = co_await m_socket.async_read_some(m_buffer.prepare(readChunk), useTask);
        if (error) {
            m_timer.disarm();
            // A connection that ends while idle, without a partial request, needs no answer.
            co_return isLate&& hasBegun ? read_end::Failed : read_end::Closed;
        }
        m_buffer.commit(count);
        if (!hasBegun) {
            hasBegun = true;
            m_timer.arm(bootClockNow() + limits.headerReadLimit, cancelRead);
        } else if (reader.hasHeader())
            m_timer.arm(bootClockNow() + limits.idleLimit, cancelRead);
    }
    m_timer.disarm();
    m_readAt = bootClockNow();
    co_return reader.state() == request_reader::progress::Done ? read_end::Request : read_end::Failed;
}

auto caller_connection::watchCaller(std::shared_ptr<request_handler> handler) -> void
{
    m_watched = std::move(handler);
    m_socket.async_wait(tcp_socket::wait_read, [self = shared_from_this(), watched = m_watched](const error_code& error) {
        if (error || self->m_watched != watched)
            return;
        auto byte = char {};
        auto count = ::recv(self->m_socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        // Readable bytes belong to the next, pipelined request, which is read later. No bytes mean that the caller closed its side.
        if (count == 0 || (count < 0 && errno != EAGAIN))
            watched->handleCallerLeft();
    });
}

auto caller_connection::answerRequest(inbound_message message) -> task<bool>
{
    auto keepOpen = message.keep_alive();
    auto isHead = message.method() == http::verb::head;
    auto handler = std::make_shared<request_handler>(m_context, std::move(message), m_readAt);
    watchCaller(handler);
    auto reply = co_await handler->run();
    m_watched.reset();
    auto ignored = error_code {};
    m_socket.cancel(ignored);
    auto isOpen = co_await writeReply(std::move(reply), keepOpen && !m_context.isStopping, isHead);
    co_return isOpen;
}

auto caller_connection::writeReply(caller_reply reply, bool keepOpen, bool isHead) -> task<bool>
{
    reply.version(11);
    reply.keep_alive(keepOpen);
    auto status = reply.result_int();
    auto hasNoBody = status == 204 || status == 304;
    // The Content-Length of an answer to HEAD is that of the omitted body and must be kept.
    if (!hasNoBody && !(isHead && reply.has_content_length()))
        reply.content_length(reply.body().size());
    m_timer.arm(bootClockNow() + writeTimeout, [this] { closeNow(m_socket); });
    auto [error, written] = co_await http::async_write(m_socket, reply, useTask);
    m_timer.disarm();
    co_return !error && keepOpen;
}

auto caller_connection::answerFault(unsigned status) -> task<>
{
    co_await writeReply(caller_reply(http::int_to_status(status), 11), false, false);
    auto ignored = error_code {};
    m_socket.shutdown(tcp::socket::shutdown_send, ignored);
    m_timer.arm(bootClockNow() + lingerTimeout, [this] { closeNow(m_socket); });
    // Reads and discards what the caller still sends, so that it receives the answer instead of a reset.
    for (auto isOpen = true; isOpen;) {
        m_buffer.clear();
        auto [error, count] = co_await m_socket.async_read_some(m_buffer.prepare(readChunk), useTask);
        isOpen = !error;
    }
    m_timer.disarm();
}

} // namespace gypsumhub
