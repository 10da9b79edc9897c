#include "gypsumhub/gateway/reply_writer.h"

#include "gypsumhub/core/clock.h"
#include "gypsumhub/core/socket_state.h"

#include <algorithm>

namespace gypsumhub {

namespace {

    constexpr auto checkInterval = seconds(1);

    auto completeHead(caller_reply& reply, bool keepOpen, bool isToHead) -> void
    {
        reply.version(11);
        reply.keep_alive(keepOpen);
        auto status = reply.result_int();
        auto hasNoBody = status == 204 || status == 304;
        // The Content-Length of an answer to HEAD is that of the omitted body and must be kept.
        if (!hasNoBody && !(isToHead && reply.has_content_length()))
            reply.content_length(reply.body().size());
    }

} // namespace

reply_writer::reply_writer(tcp_socket& socket)
    : m_socket(socket)
    , m_checkTimer(socket.get_executor())
{
}

auto reply_writer::write(caller_reply& reply, bool keepOpen, bool isToHead) -> task<bool>
{
    completeHead(reply, keepOpen, isToHead);
    m_isWriting = true;
    m_isGivenUp = false;
    m_progress = delivery_progress(bootClockNow());
    armCheck();
    auto serializer = http::response_serializer<http::string_body>(reply);
    auto failed = false;
    while (!failed && !serializer.is_done()) {
        auto [error, count] = co_await http::async_write_some(m_socket, serializer, useTask);
        m_handedBytes += count;
        failed = error.failed();
    }
    m_checkTimer.disarm();
    m_isWriting = false;
    co_return !failed;
}

auto reply_writer::armCheck() -> void
{
    m_checkTimer.arm(bootClockNow() + checkInterval, [this] { checkProgress(); });
}

auto reply_writer::checkProgress() -> void
{
    auto now = bootClockNow();
    auto unsent = unsentBytes(m_socket).value_or(0);
    m_progress.record(m_handedBytes - std::min<uint64_t>(unsent, m_handedBytes), now);
    if (!m_progress.isStalled(now))
        return armCheck();
    m_isGivenUp = true;
    closeNow(m_socket);
}

} // namespace gypsumhub
