#pragma once

#include "gypsumhub/gateway/reply_writer.h"
#include "gypsumhub/gateway/request_pipeline.h"

#include <array>
#include <boost/beast/core/flat_buffer.hpp>
#include <memory>

namespace gypsumhub {

/// One connection from a caller (HTTP/1.1 with keep-alive and pipelining). Reads requests while earlier ones are open, answers them
/// in order of arrival, and notices when the caller leaves.
class caller_connection : public std::enable_shared_from_this<caller_connection> {
public:
    caller_connection(gateway_context&, tcp_socket);
    ~caller_connection();
    caller_connection(const caller_connection&) = delete;
    auto operator=(const caller_connection&) -> caller_connection& = delete;

    auto run() -> task<>;
    /// Called as the process ends. Closes the connection if an answer is on its way. Returns false if the caller had not received
    /// that answer.
    auto end() -> bool;

private:
    /// What becomes of the bytes that the caller sends.
    enum class intake : uint8_t {
        Requests,
        /// The last request was read or refused. Further bytes are ignored until its answer is written.
        Ignored,
        /// An answer of a stopping node that says that the connection is closed behind it is being written. Further bytes stay unread.
        Unread,
        /// The last answer is written, and the connection waits until it may be closed behind it.
        Closing,
    };

    /// Receives bytes. Returns false when the connection has ended.
    auto receive() -> task<bool>;
    /// Waits while a stopping node leaves bytes unread.
    auto holdReading() -> task<>;
    /// Whether bytes of further requests have arrived that are still going to be read.
    auto hasUnreadBytes() -> bool;
    /// Waits while no more bytes can be held or are to be read. Returns false when the caller has left meanwhile.
    auto waitForSpace() -> task<bool>;
    auto hasSpace() -> bool;
    /// Returns memory that held bytes which are parsed by now.
    auto releaseUnreadMemory() -> void;
    /// Reserves memory for the request that is being read. Returns false when it has to wait, or is refused since it can never fit.
    auto reserveRequest() -> bool;
    /// Parses the received bytes and starts the requests in them, as far as the pipeline has room.
    auto readRequests() -> task<>;
    auto mayReadRequest() const -> bool;
    auto sendContinue() -> task<>;
    auto addRequest(inbound_message) -> void;
    /// Answers bytes that are no valid request. The connection ends with that answer.
    auto refuseBytes(result_code fault) -> void;
    auto startRequests() -> void;
    /// Writes the answers that are ready and whose turn has come.
    auto writeReplies() -> task<>;
    auto writeReply(pipelined_request&, bool keepOpen) -> task<bool>;
    /// Whether the answer says that the connection is closed behind it.
    auto closesWith(const pipelined_request&) -> bool;
    /// Ends the sending side behind the last answer; `run` then waits until the connection may be closed.
    auto beginClosing() -> void;
    auto finishClosing() -> task<>;
    /// Whether a request is partly read and the next bytes of it are up to the caller.
    auto isReadingRequest() const -> bool;
    /// Sets the deadline until which the caller must have sent its next bytes.
    auto updateReadDeadline() -> void;
    auto handleReadTimeout() -> void;
    auto handleCallerLeft() -> void;

    gateway_context& m_context;
    tcp_socket m_socket;
    /// The caller's IP address.
    std::string m_callerAddress;
    deadline_timer m_readTimer;
    reply_writer m_writer;
    steady_timer m_spaceTimer;
    std::array<char, 8 * 1024> m_received {};
    /// Received bytes that are not parsed yet.
    beast::flat_buffer m_buffer;
    buffer_budget::reservation m_unreadMemory { m_context.buffers };
    buffer_budget::reservation m_requestMemory { m_context.buffers, memory_use::Request };
    /// The request that is being read waits for memory until this time. Meanwhile nothing is received.
    time_point m_memoryWaitUntil {};
    bool m_waitsForMemory { false };
    time_point m_receivedAt {};
    /// When reading of the current request began.
    time_point m_requestBeganAt {};
    /// Null between two requests.
    std::unique_ptr<request_reader> m_reader;
    request_pipeline m_pipeline;
    intake m_intake { intake::Requests };
    /// The caller may still be sending the request that was refused.
    bool m_hasRefusedBytes { false };
    /// The caller has sent requests before earlier ones were answered.
    bool m_hasPipelined { false };
    /// The node was stopping when it wrote the last answer, and kept the connection.
    bool m_isKeptByStop { false };
    bool m_isWriting { false };
    bool m_hasCallerLeft { false };
};

} // namespace gypsumhub
