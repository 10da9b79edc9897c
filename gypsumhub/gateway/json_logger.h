#pragma once

#include "gypsumhub/core/time_point.h"
#include "gypsumhub/gateway/log_sampler.h"

#include <boost/json/object.hpp>
#include <string>
#include <string_view>

namespace gypsumhub {

/// The priority of a log line when the rate limit is reached.
enum class log_class : uint8_t {
    /// A line of a successful request. Dropped first.
    Routine,
    /// A failure, a refusal, or a change of the node's state.
    Notable,
    /// A line of the end of the process, of which there is a bounded number. Never dropped, and does not count towards the limit.
    Final,
};

/// The current time as written in log lines, in Unix seconds.
auto logTimeNow() -> double;

/// Writes JSON log lines to a file descriptor without blocking. Lines that exceed the rate limit, or the buffer when the reader is
/// too slow, are dropped, unless they are final; their number is logged.
class json_logger {
public:
    /// The file descriptor to write to and the rate limit.
    struct settings {
        int descriptor { 1 };
        uint32_t linesPerSecond { 200 };
    };

    explicit json_logger(settings);

    /// Queues a line unless the rate limit drops it. A field `time` replaces the current time.
    auto write(log_class, std::string_view event, boost::json::object fields) -> void;
    /// Returns whether the routine lines of a request are to be written. Called once per request, since it counts requests.
    auto samples(std::string_view requestId) -> bool;
    /// Counts lines as dropped because their request is not sampled.
    auto recordUnsampled(size_t lines) -> void { m_dropped += lines; }
    /// Writes as many queued bytes as the descriptor accepts now, and logs the number of dropped lines at most once a second. Must be
    /// called several times a second.
    auto flush() -> void;
    auto dropped() const -> uint64_t { return m_dropped; }

private:
    auto reportDropped(time_point now) -> void;
    auto admits(log_class, time_point now) -> bool;
    auto append(std::string_view event, boost::json::object fields) -> void;

    settings m_settings;
    std::string m_pending;
    uint64_t m_dropped { 0 };
    uint64_t m_droppedReported { 0 };
    time_point m_reportDroppedAt {};
    log_sampler m_sampler;
    double m_tokens;
    time_point m_refilledAt;
};

} // namespace gypsumhub
