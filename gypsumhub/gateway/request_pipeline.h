#pragma once

#include "gypsumhub/gateway/request_handler.h"

#include <deque>
#include <memory>
#include <optional>

namespace gypsumhub {

/// One request of a caller's connection, from its arrival until its answer is written.
struct pipelined_request {
    /// Null for a request that was refused while it was read; it has its reply from the start.
    std::shared_ptr<request_handler> handler;
    /// May run at the same time as other such requests of its connection.
    bool mayOverlap { false };
    bool isHead { false };
    /// The caller allows further requests after this one.
    bool keepOpen { true };
    size_t bodyBytes { 0 };
    /// Of the request.
    buffer_budget::reservation memory {};
    bool isStarted { false };
    std::optional<caller_reply> reply;
};

/// The unanswered requests of one connection, in order of arrival (HTTP/1.1 pipelining). Performs no I/O.
///
/// Retryable requests run at the same time. Any other request starts when the earlier ones are answered, and holds back those
/// behind it: the caller may rely on the order of their effects.
class request_pipeline {
public:
    using entry = std::shared_ptr<pipelined_request>;

    /// Whether another request may be read. Bounds the requests and bytes that one connection occupies.
    auto hasRoom() const -> bool;
    auto add(pipelined_request) -> entry;
    /// Marks and returns the next request that may start now, or null.
    auto startNext() -> entry;
    /// The first request if its answer is ready, otherwise null.
    auto nextToWrite() const -> entry;
    auto removeFirst() -> void;
    /// Removes the requests that have not started, for a connection on which no more answers are sent.
    auto removeUnstarted() -> void;
    auto clear() -> void { m_open.clear(); }
    auto open() const -> const std::deque<entry>& { return m_open; }
    auto isEmpty() const -> bool { return m_open.empty(); }
    auto hasOne() const -> bool { return m_open.size() == 1; }

private:
    std::deque<entry> m_open;
};

} // namespace gypsumhub
