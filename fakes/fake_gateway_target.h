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

/// How a stand-in target treats its requests.
enum class target_behaviour : uint8_t {
    Normal,
    /// Answers 500.
    Fails,
    /// Declines to run, for want of room.
    Sheds,
    /// Runs the request and closes the connection without an answer.
    Drops,
    /// Sends an answer to another request before its own.
    AnswersOtherRequest,
    /// Breaks off in the middle of its answer.
    Cuts,
};

/// A request as the target saw it.
struct recorded_request {
    std::string requestId;
    time_point at;
    bool isRun { false };
};

/// Stand-in of a target of the users' platform. Each connection has a thread.
class fake_gateway_target {
public:
    fake_gateway_target(const std::string& address, std::string id);
    ~fake_gateway_target();

    auto port() const -> uint16_t;
    auto id() const -> const std::string& { return m_id; }
    auto setBehaviour(target_behaviour manner) -> void { m_behaviour = manner; }
    /// How long an answer takes.
    auto setServiceTime(duration work) -> void { m_work = work.ns; }
    auto arrivals() -> std::vector<recorded_request>;
    /// How often the target ran a request.
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
    std::atomic<int64_t> m_work { 0 };
    std::vector<recorded_request> m_arrivals;
    std::vector<std::thread> m_connections;
    std::vector<int> m_sockets;
    std::thread m_accepting;
};

} // namespace gypsumhub
