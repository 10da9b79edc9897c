#include "gypsumhub/gateway/json_logger.h"

#include "gypsumhub/core/clock.h"
#include "gypsumhub/core/hash.h"

#include <algorithm>
#include <boost/json/serialize.hpp>
#include <fcntl.h>
#include <unistd.h>

namespace gypsumhub {

namespace {

    // Bounds memory when the reader has stopped; enough for some seconds of lines.
    constexpr auto maxPendingBytes = size_t { 256 * 1024 };
    // Share of the rate limit that is reserved for notable lines.
    constexpr auto notableReserve = 0.3;
    // Most requests have one placement line and one end line.
    constexpr auto linesPerRequest = 2.0;
    constexpr auto droppedInterval = seconds(1);

} // namespace

auto logTimeNow() -> double
{
    return static_cast<double>(wallClockNow().ns) * 1e-9;
}

json_logger::json_logger(settings given)
    : m_settings(given)
    , m_sampler(static_cast<uint32_t>(given.linesPerSecond * (1 - notableReserve) / linesPerRequest))
    , m_tokens(given.linesPerSecond)
    , m_refilledAt(bootClockNow())
{
    auto flags = fcntl(m_settings.descriptor, F_GETFL);
    fcntl(m_settings.descriptor, F_SETFL, flags | O_NONBLOCK);
}

auto json_logger::admits(log_class kind, time_point now) -> bool
{
    if (kind == log_class::Final)
        return true;
    auto limit = static_cast<double>(m_settings.linesPerSecond);
    m_tokens = std::min(limit, m_tokens + (now - m_refilledAt).seconds() * limit);
    m_refilledAt = now;
    auto least = kind == log_class::Routine ? 1 + notableReserve * limit : 1;
    if (m_tokens < least || m_pending.size() > maxPendingBytes)
        return false;
    m_tokens -= 1;
    return true;
}

auto json_logger::append(std::string_view event, boost::json::object fields) -> void
{
    auto* time = fields.if_contains("time");
    auto line = boost::json::object { { "time", time ? *time : boost::json::value(logTimeNow()) }, { "event", event } };
    for (auto& field : fields)
        line.insert(field);
    m_pending += boost::json::serialize(line);
    m_pending += '\n';
}

auto json_logger::write(log_class kind, std::string_view event, boost::json::object fields) -> void
{
    if (!admits(kind, bootClockNow())) {
        ++m_dropped;
        return;
    }
    append(event, std::move(fields));
}

auto json_logger::samples(std::string_view requestId) -> bool
{
    return m_sampler.sample(hashName(requestId), bootClockNow());
}

auto json_logger::reportDropped(time_point now) -> void
{
    if (m_dropped == m_droppedReported || now < m_reportDroppedAt)
        return;
    append("log_dropped", { { "lines", m_dropped - m_droppedReported }, { "one_request_in", m_sampler.oneIn() } });
    m_droppedReported = m_dropped;
    m_reportDroppedAt = now + droppedInterval;
}

auto json_logger::flush() -> void
{
    reportDropped(bootClockNow());
    if (m_pending.empty())
        return;
    auto written = ::write(m_settings.descriptor, m_pending.data(), m_pending.size());
    // What the descriptor does not accept now is written at a later flush.
    if (written > 0)
        m_pending.erase(0, static_cast<size_t>(written));
}

} // namespace gypsumhub
