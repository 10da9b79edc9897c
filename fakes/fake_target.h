#pragma once

#include "gypsumhub/core/asio_types.h"
#include "gypsumhub/core/random_generator.h"

#include <atomic>
#include <boost/beast/core/flat_buffer.hpp>
#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <thread>

namespace gypsumhub {

/// The fault that a fake target simulates.
enum class fake_fault : uint8_t {
    None,
    /// Service times are multiplied by a factor.
    Slow,
    /// Answers have status 500.
    Errors,
    /// Answers carry the id of another request.
    Wrong,
    /// Answers are truncated.
    Cut,
    /// No byte of an answer is sent.
    Silent,
    /// Only the header of an answer is sent.
    Hang,
    /// Requests are declined with reason "draining".
    Drain,
    /// Requests are declined with reason "shed".
    Shed,
    /// Connections that were open when the fault began get no answers; new connections work.
    DeadConnections,
};

/// Parses the name of a fault: "none", "slow", "errors", "wrong", "cut", "silent", "hang", "drain", "shed" or "dead-connections".
auto fakeFaultFromName(std::string_view) -> std::optional<fake_fault>;

/// A fake target: an HTTP server with a concurrency limit (slots), a service time, and faults that can be changed at run time.
///
/// `POST /control/fault?kind=NAME&permille=N&factor=N` sets the fault and the share of requests that it affects;
/// `GET /control/counts` returns the executions by idempotency key or request id. `GET /health` always succeeds.
/// `?bytes=N` adds N bytes of padding to the body, `?chunked=1` selects the chunked transfer coding.
class fake_target {
public:
    /// Address, capacity and service time.
    struct settings {
        std::string name { "target" };
        std::string address { "127.0.0.1" };
        /// 0 selects a free port.
        uint16_t port { 0 };
        uint32_t slots { 4 };
        /// Mean service time in microseconds. A service time is half of the mean plus an exponentially distributed part.
        uint32_t serviceMicroseconds { 0 };
        uint64_t seed { 1 };
    };

    explicit fake_target(settings);
    ~fake_target();
    fake_target(const fake_target&) = delete;
    auto operator=(const fake_target&) -> fake_target& = delete;

    auto port() const -> uint16_t { return m_port; }

    /// Sets the fault. It affects `permille` of the requests; `factor` multiplies the service time of slow ones.
    auto setFault(fake_fault, uint32_t permille = 1000, uint32_t factor = 3) -> void;

    /// Number of requests whose execution started.
    auto executed() const -> uint64_t { return m_executed.load(); }
    /// Number of received requests, including declined ones.
    auto received() const -> uint64_t { return m_received.load(); }
    /// Number of requests whose service time did not complete: the connection closed, or the fault was silent.
    auto cancelled() const -> uint64_t { return m_cancelled.load(); }
    auto connections() const -> uint64_t { return m_connections.load(); }
    /// Highest number of requests that executed at the same time.
    auto maxInFlight() const -> uint32_t { return m_maxInFlight.load(); }

private:
    struct connection;
    using request_type = http::request<http::string_body>;

    auto acceptLoop() -> task<>;
    auto serve(std::shared_ptr<connection>) -> task<>;
    auto answer(connection&, const request_type&) -> task<bool>;
    auto control(connection&, const request_type&) -> task<bool>;
    auto execute(connection&, const request_type&, fake_fault) -> task<bool>;
    auto waitServiceTime(connection&, fake_fault) -> task<bool>;
    auto writeAnswer(connection&, const request_type&, fake_fault) -> task<bool>;
    auto decline(connection&, const request_type&, std::string_view reason) -> task<bool>;
    auto pickFault(const connection&) -> fake_fault;
    auto countExecution(const request_type&) -> void;
    auto countsAsJson() const -> std::string;

    settings m_settings;
    asio::io_context m_ioContext { 1 };
    tcp_acceptor m_acceptor;
    uint16_t m_port { 0 };
    random_generator m_random;
    std::atomic<fake_fault> m_fault { fake_fault::None };
    std::atomic<uint32_t> m_permille { 1000 };
    std::atomic<uint32_t> m_factor { 3 };
    std::atomic<uint64_t> m_faultRound { 0 };
    std::atomic<uint64_t> m_executed { 0 };
    std::atomic<uint64_t> m_received { 0 };
    std::atomic<uint64_t> m_cancelled { 0 };
    std::atomic<uint64_t> m_connections { 0 };
    std::atomic<uint32_t> m_maxInFlight { 0 };
    uint32_t m_inFlight { 0 };
    uint64_t m_shed { 0 };
    std::string m_otherId { "another-request" };
    std::map<std::string, uint32_t, std::less<>> m_executions;
    std::thread m_thread;
};

} // namespace gypsumhub
