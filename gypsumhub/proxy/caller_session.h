#pragma once

#include "gypsumhub/core/asio_types.h"
#include "gypsumhub/proxy/answer_sink.h"
#include "gypsumhub/proxy/buffer_reservation.h"
#include "gypsumhub/proxy/caller_answer.h"
#include "gypsumhub/proxy/caller_request.h"
#include "gypsumhub/proxy/request_cancellation.h"
#include "gypsumhub/proxy/session_registry.h"
#include "gypsumhub/proxy/thread_resources.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <memory>
#include <optional>

namespace gypsumhub {

/// One caller's connection. Reads a request, handles it and writes the answer before it reads the next request. Runs on one
/// request thread. The accept loop increments `connectionsOpen`; the destructor decrements it.
class caller_session : public std::enable_shared_from_this<caller_session>, private answer_sink {
public:
    caller_session(tcp_socket, thread_resources&, session_registry&);
    ~caller_session() override;

    /// Serves the connection until it closes. The session must be kept alive until the task ends.
    auto run() -> task<>;

    /// Answers with `TooManyConnections`, then closes the connection.
    auto refuse() -> task<>;

    /// Closes the socket; false when it was already closed.
    auto close() -> bool;

    /// Closes the socket and cancels the request in progress.
    auto cancel() -> void;

    /// Closes the socket if no byte of a request has arrived since the last answer, and its caller had time to send one.
    auto closeIfIdle() -> void;

private:
    // Callers that keep a connection behind an answer use it again within this time.
    static constexpr auto callerPause = seconds(2);

    // Whether the connection waits for the first byte of a request, receives a request, handles one, or closes behind its last answer.
    enum class phase : uint8_t {
        Idle,
        Reading,
        Busy,
        Closing,
    };

    // Result of reading a request. Without message and fault, the connection closed or timed out while idle.
    struct read_outcome {
        std::optional<inbound_message> message;
        result_code fault { result_code::Ok };
    };

    auto serve() -> task<>;
    auto readRequest(buffer_reservation&) -> task<read_outcome>;
    auto receive(size_t maxBytes) -> task<bool>;
    auto sendContinue() -> task<bool>;
    auto handle(inbound_message) -> task<bool>;
    /// Whether the connection closes with its next answer: the node is stopping and all that was read is answered.
    auto isLastBeforeStop() const -> bool;
    auto route(caller_request&) -> task<caller_answer>;
    auto writeAnswer(caller_answer, bool keepAlive) -> task<bool>;
    /// Ends the connection behind its last answer once the caller has received it.
    auto closeGracefully() -> task<>;
    auto resetConnection() -> void;
    auto setPhase(phase) -> void;

    auto begin(http::response_header<> head, std::optional<uint64_t> length) -> task<bool> override;
    auto write(std::string_view part) -> task<bool> override;
    auto end() -> task<bool> override;

    // The timeout cancels pending socket operations; while a request is handled, it closes the socket.
    auto startTimeout(duration limit) -> void;
    auto cancelTimeout() -> void;
    // Detects that the caller disconnects while its request is handled.
    auto startDisconnectWatch() -> void;
    auto stopDisconnectWatch() -> void;
    auto onReadable() -> void;

    tcp_socket m_socket;
    thread_resources& m_thread;
    proxy_context& m_context;
    session_registry& m_registry;
    session_registry::position m_position;
    phase m_phase { phase::Idle };
    beast::flat_buffer m_buffer;
    steady_timer m_timeoutTimer;
    /// When the last answer that did not announce a close was written.
    time_point m_keptAt {};
    uint64_t m_timeoutGeneration { 0 };
    bool m_expired { false };
    bool m_watchesDisconnect { false };
    uint64_t m_watchGeneration { 0 };
    // The last answer is written; and whether the caller may still be sending what it refused.
    bool m_closesBehindAnswer { false };
    bool m_hasRefusedBytes { false };
    request_cancellation m_cancellation;
    // State of the request in progress: its id, and how a streamed answer must be framed.
    std::string m_requestId;
    bool m_keepAlive { false };
    bool m_acceptsChunks { true };
    bool m_chunked { false };
};

} // namespace gypsumhub
