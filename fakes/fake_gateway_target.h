#pragma once

#include "gypsumhub/core/time_point.h"

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace gypsumhub {

/// How a fake target handles its requests.
enum class target_behaviour : uint8_t {
    Normal,
    /// Answers 500.
    Fails,
    /// Rejects the request without running it, as a target at capacity does.
    Sheds,
    /// Runs the request and closes the connection without an answer.
    Drops,
    /// Sends an answer with the id of another request before the right one.
    AnswersOtherRequest,
    /// Closes the connection in the middle of its answer.
    Cuts,
    /// Sends a late copy of another answer, without an id, before the right one.
    AnswersWithoutId,
    /// Runs the request and sends interim answers, one header field after the other, or a body, until the caller closes.
    EndlessInterim,
    EndlessHead,
    EndlessBody,
    /// Runs the request and breaks off its answer: before the last chunk, with a chunk size that is no number, or by resetting an answer
    /// without a length.
    CutsChunks,
    SpoilsChunk,
    ResetsUnframed,
};

/// A request that a fake target received.
struct recorded_request {
    std::string requestId;
    time_point at;
    bool isRun { false };
};

/// Fake of a target on the users' platform. Runs one thread per connection.
class fake_gateway_target {
public:
    /// Header field of a request with the milliseconds that the target takes to run it, instead of the target's service time.
    static constexpr auto delayField = "Test-Delay-Ms";

    fake_gateway_target(const std::string& address, std::string id);
    ~fake_gateway_target();

    auto port() const -> uint16_t;
    auto id() const -> const std::string& { return m_id; }
    auto setBehaviour(target_behaviour behaviour) -> void { m_behaviour = behaviour; }
    /// Time from receiving a request to answering it.
    auto setServiceTime(duration serviceTime) -> void { m_serviceTimeNs = serviceTime.ns; }
    auto arrivals() -> std::vector<recorded_request>;
    /// Number of times that the target ran the request.
    auto runs(const std::string& requestId) -> int;
    auto totalRuns() -> int;

private:
    auto recordArrival(const std::string& requestId, bool isRun) -> void;
    auto serve(boost::asio::ip::tcp::socket) -> void;

    std::string m_id;
    boost::asio::io_context m_context;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::atomic<target_behaviour> m_behaviour { target_behaviour::Normal };
    std::mutex m_mutex;
    std::atomic<int64_t> m_serviceTimeNs { 0 };
    std::vector<recorded_request> m_arrivals;
    std::vector<std::thread> m_connections;
    std::vector<int> m_sockets;
    std::thread m_acceptThread;
};

} // namespace gypsumhub
