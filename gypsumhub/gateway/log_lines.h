#pragma once

#include "gypsumhub/core/time_point.h"
#include "gypsumhub/gateway/log_sampler.h"

#include <boost/json/object.hpp>
#include <string>
#include <string_view>

namespace gypsumhub {

/// Which lines go first when there are more than the limit allows.
enum class log_class : uint8_t {
    /// One of many requests that went well.
    Routine,
    /// A failure, a refusal, or a change of what the node believes.
    Notable,
};

/// The present time as lines give it: Unix seconds.
auto logTimeNow() -> double;

/// Writes JSON lines to a file descriptor without ever waiting for its reader. Lines beyond the limit, or beyond what the
/// reader takes, are dropped and counted in a line of their own.
class log_lines {
public:
    struct settings {
        int descriptor { 1 };
        uint32_t linesPerSecond { 200 };
    };

    explicit log_lines(settings);

    /// A field `time` stands for the present time.
    auto write(log_class, std::string_view event, boost::json::object fields) -> void;
    /// Whether the routine lines of a request are written; asked once a request.
    auto samples(std::string_view requestId) -> bool;
    /// Counts lines that are left out since their request is not sampled.
    auto recordUnsampled(size_t lines) -> void { m_dropped += lines; }
    /// Hands over what the reader takes now, and says once a second how many lines were left out. Called several times a second.
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
