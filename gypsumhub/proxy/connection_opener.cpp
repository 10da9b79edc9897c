#include "gypsumhub/proxy/connection_opener.h"

#include "gypsumhub/core/clock.h"

#include <algorithm>

namespace gypsumhub {

auto openConnection(thread_resources& thread, const connection_query& query, request_cancellation& cancellation) -> task<opened_connection>
{
    auto opened = opened_connection {};
    if (query.requireNew)
        thread.pool.closeIdle(query.key);
    auto connection = thread.pool.acquire(query.key, query.share, query.requireFresh);
    if (!connection)
        co_return opened;
    if (connection->socket().is_open()) {
        opened.connection = std::move(connection);
        co_return opened;
    }
    auto now = thread.context.now();
    auto limit = steadyClockNow() + thread.context.settings.connectLimit;
    auto deadline = toSteadyClock(query.deadline, now);
    cancellation.setHandler([connection] { connection->abort(abort_reason::CallerDisconnected); });
    auto error = co_await connection->connect(query.address, std::min(limit, deadline));
    cancellation.setHandler(nullptr);
    if (!error) {
        opened.connection = std::move(connection);
        co_return opened;
    }
    // A timeout counts as a failure of the other side only when the connect limit, not the request's deadline, caused it.
    auto reason = connection->abortReason();
    opened.failed = reason == abort_reason::None || (reason == abort_reason::DeadlinePassed && limit <= deadline);
    thread.pool.discard(query.key, connection);
    co_return opened;
}

auto toSteadyClock(time_point instant, time_point now) -> time_point
{
    if (instant == never)
        return never;
    return steadyClockNow() + (instant - now);
}

auto connectionShare(const proxy_server_settings& settings, size_t members) -> uint32_t
{
    auto sharingThreads = std::max<size_t>(members, 1) * std::max<uint32_t>(settings.requestThreads, 1);
    return std::max<uint32_t>(1, static_cast<uint32_t>(settings.connectionsPerTarget / sharingThreads));
}

} // namespace gypsumhub
