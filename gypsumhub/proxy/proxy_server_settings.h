#pragma once

#include "gypsumhub/config/configuration.h"
#include "gypsumhub/core/clock.h"
#include "gypsumhub/core/strong_id.h"
#include "gypsumhub/core/time_point.h"

#include <cstdint>
#include <functional>
#include <string>

namespace gypsumhub {

/// Settings of a `proxy_server`, fixed for its lifetime.
struct proxy_server_settings {
    node_key self;
    /// Listening address for callers; port 0 selects a free port.
    endpoint callerAddress;
    uint32_t requestThreads { 2 };
    /// Maximum open connections of callers, over all threads.
    uint32_t maxConnections { 4096 };
    uint32_t maxHeaderBytes { 16 * 1024 };
    uint32_t maxBodyBytes { 8 * 1024 * 1024 };
    /// Maximum buffered request and answer bytes, over all threads.
    uint64_t maxBufferedBytes { 96 * 1024 * 1024 };
    /// Answers up to this size are buffered completely before the first byte goes to the caller; larger ones are streamed.
    uint32_t bufferedAnswerBytes { 256 * 1024 };
    /// Timeout for receiving a complete request, and for writing one part of an answer to the caller.
    duration requestReadLimit { seconds(10) };
    /// Idle timeout of a caller's connection between requests.
    duration idleLimit { seconds(60) };
    /// How long callers may use an answer to `GET /v1/nodes`.
    duration answerLifetime { seconds(15) };
    /// Upper bound of the time until all nodes omit a node that is shutting down from their answers.
    duration shutdownPropagationLimit { seconds(2) };
    /// Maximum connections to one target, divided among the members of its serving group.
    uint32_t connectionsPerTarget { 360 };
    /// Idle timeout of a pooled connection to a target.
    duration targetIdleLimit { seconds(20) };
    /// Longest idle time after which a pooled connection may still carry a non-idempotent request.
    duration freshLimit { seconds(2) };
    /// Timeout for connecting to a target.
    duration connectLimit { seconds(1) };
    /// Path of the span log, or empty for none.
    std::string spanLog;
    /// Seeds the generation of request ids and the random choice of targets.
    uint64_t seed { 1 };
    /// Wall clock that deadlines are compared with.
    std::function<time_point()> clock { wallClockNow };
};

} // namespace gypsumhub
