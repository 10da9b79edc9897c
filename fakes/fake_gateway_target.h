#pragma once

#include "fakes/target_behaviour.h"
#include "gypsumhub/core/time_point.h"

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <condition_variable>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace gypsumhub {

/// A request that a fake target received.
struct recorded_request {
    std::string requestId;
    time_point at;
    bool isRun { false };
    /// Values of the fields `Authorization`, `Tenant` and `Gypsumhub-Customer`, each with a semicolon behind it.
    std::string callerFields {};
};

/// Fake of a target on the users' platform. Runs one thread per connection.
class fake_gateway_target {
public:
    /// Header field of a request with the milliseconds that the target takes to run it, instead of the target's service time.
    static constexpr auto delayField = "Test-Delay-Ms";
    /// Header field of a request that crashes the target once that time is over.
    static constexpr auto crashField = "Test-Crash";

    fake_gateway_target(const std::string& address, std::string id);
    ~fake_gateway_target();

    auto port() const -> uint16_t;
    auto id() -> std::string;
    auto setBehaviour(target_behaviour behaviour) -> void { m_behaviour = behaviour; }
    /// Time from receiving a request to answering it.
    auto setServiceTime(duration serviceTime) -> void { m_serviceTimeNs = serviceTime.ns; }
    /// States a limit of this many requests per second in all answers; empty for none.
    auto setStatedLimit(std::string requestsPerSecond) -> void;
    /// Asks for a pause of this length in all answers that reject a request; empty for none.
    auto setRetryAfter(std::string seconds) -> void;
    /// States in all answers that the target is leaving.
    auto setLeaving(bool isLeaving) -> void { m_isLeaving = isLeaving; }
    auto arrivals() -> std::vector<recorded_request>;
    /// Number of times that the target ran the request.
    auto runs(const std::string& requestId) -> int;
    auto totalRuns() -> int;
    /// Loses all requests in flight, resets all connections and refuses new ones. No effect on a target that is down.
    auto crash() -> void;
    /// Listens again on the same port under a new id. No effect on a target that is up.
    auto restart(std::string id) -> void;
    auto isDown() -> bool;
    auto crashes() -> int;
    auto crashTimes() -> std::vector<time_point>;

private:
    /// What a connection belongs to. A crash ends the incarnation with all its connections.
    struct incarnation {
        std::string id;
        int number { 0 };
    };

    auto listen() -> void;
    auto acceptConnections(const incarnation&) -> void;
    auto serve(boost::asio::ip::tcp::socket, const incarnation&) -> void;
    /// Serves requests until the connection ends. An error or a crash ends it early.
    auto serveRequests(boost::asio::ip::tcp::socket&, const incarnation&) -> void;
    /// The header lines of what the target states about itself.
    auto statementLines() -> std::string;
    auto pauseLine() -> std::string;
    /// Returns false if the target has crashed.
    auto recordArrival(const std::string& requestId, bool isRun, const incarnation&, std::string callerFields = {}) -> bool;
    /// Returns false if the target crashes before the time is over.
    auto work(std::chrono::nanoseconds, const incarnation&) -> bool;
    auto crash(const incarnation&) -> void;
    /// Ends the incarnation. The caller holds the mutex.
    auto goDown() -> void;

    std::mutex m_mutex;
    std::condition_variable m_wentDown;
    incarnation m_incarnation;
    bool m_isDown { false };
    std::vector<time_point> m_crashTimes;
    boost::asio::io_context m_context;
    // Keeps the port while the target is down. Never listens.
    boost::asio::ip::tcp::socket m_reservation;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::atomic<target_behaviour> m_behaviour { target_behaviour::Normal };
    std::atomic<int64_t> m_serviceTimeNs { 0 };
    std::string m_statedLimit;
    std::string m_retryAfter;
    std::atomic<bool> m_isLeaving { false };
    std::vector<recorded_request> m_arrivals;
    std::vector<std::thread> m_connections;
    std::vector<int> m_sockets;
    std::thread m_acceptThread;
};

} // namespace gypsumhub
