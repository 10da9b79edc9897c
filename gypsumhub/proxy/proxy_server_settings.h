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
    /// Where callers connect; port 0 lets the system choose one.
    endpoint callerAddress;
    uint32_t requestThreads { 2 };
    /// Callers' connections at once, over all threads.
    uint32_t maxConnections { 4096 };
    uint32_t maxHeaderBytes { 16 * 1024 };
    uint32_t maxBodyBytes { 8 * 1024 * 1024 };
    /// Request and answer bytes held at once, over all threads.
    uint64_t maxBufferedBytes { 96 * 1024 * 1024 };
    /// Answers up to this size are held whole before the first byte goes to the caller.
    uint32_t bufferedAnswerBytes { 256 * 1024 };
    /// Longest time for a request to arrive whole, and for a part of an answer to be taken by the caller.
    duration requestReadLimit { seconds(10) };
    /// Longest time that a caller's connection may stay idle between requests.
    duration idleLimit { seconds(60) };
    /// How long callers may keep the answer of `GET /v1/nodes`.
    duration answerLifetime { seconds(15) };
    /// Longest time until all nodes leave a stopping node out of their answers.
    duration shutdownPropagationLimit { seconds(2) };
    /// Connections that a target bears, shared by the members of its serving group.
    uint32_t connectionsPerTarget { 360 };
    /// Longest time that a connection to a target may stay idle and be used again.
    duration targetIdleLimit { seconds(20) };
    /// Longest idle time after which a connection may still carry a request that must run at most once.
    duration freshLimit { seconds(2) };
    /// Longest time to connect to a target.
    duration connectLimit { seconds(1) };
    /// Path of the span log, or empty for none.
    std::string spanLog;
    /// Seed of the generator of request ids and of target choice.
    uint64_t seed { 1 };
    /// Source of the current time; deadlines are compared with it.
    std::function<time_point()> clock { wallClockNow };
};

} // namespace gypsumhub
