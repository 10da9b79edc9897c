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

/// What a fake target does wrong.
enum class fake_fault : uint8_t {
    None,
    Slow,
    Errors,
    /// Answers carry another request's id.
    Wrong,
    /// Answers end before they are complete.
    Cut,
    /// No byte of an answer.
    Silent,
    /// The answer's header and then nothing.
    Hang,
    Drain,
    Shed,
    /// Connections that were open when the fault began stay silent; new ones work.
    DeadConnections,
};

/// The fault of this name: "none", "slow", "errors", "wrong", "cut", "silent", "hang", "drain", "shed" or "dead-connections".
auto fakeFaultFromName(std::string_view) -> std::optional<fake_fault>;

/// A model target: an HTTP server with slots, a service time, and faults that are switched while it runs.
///
/// `POST /control/fault?kind=NAME&permille=N&factor=N` sets the fault and the share of requests that it hits;
/// `GET /control/counts` tells what was executed, by idempotency key or request id. `GET /health` always succeeds.
/// `?bytes=N` asks for a body of that size, `?chunked=1` for the chunked coding.
class fake_target {
public:
    struct settings {
        std::string name { "target" };
        std::string address { "127.0.0.1" };
        /// 0 lets the system choose.
        uint16_t port { 0 };
        uint32_t slots { 4 };
        /// Mean service time in microseconds; single times spread from half of it upwards, exponentially.
        uint32_t serviceMicroseconds { 0 };
        uint64_t seed { 1 };
    };

    explicit fake_target(settings);
    ~fake_target();
    fake_target(const fake_target&) = delete;
    auto operator=(const fake_target&) -> fake_target& = delete;

    auto port() const -> uint16_t { return m_port; }

    /// Sets the fault; `permille` of the requests are hit, `factor` multiplies the service time of slow ones.
    auto setFault(fake_fault, uint32_t permille = 1000, uint32_t factor = 3) -> void;

    /// Requests that began to execute.
    auto executed() const -> uint64_t { return m_executed.load(); }
    /// Requests that came, declined ones included.
    auto received() const -> uint64_t { return m_received.load(); }
    /// Requests whose connection closed before the answer was ready.
    auto cancelled() const -> uint64_t { return m_cancelled.load(); }
    auto connections() const -> uint64_t { return m_connections.load(); }
    /// Most requests that executed at once.
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
