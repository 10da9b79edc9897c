#pragma once

#include "gypsumhub/config/configuration.h"
#include "gypsumhub/core/asio_types.h"
#include "gypsumhub/core/random_generator.h"
#include "soak/soak_promises.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <optional>
#include <vector>

namespace gypsumhub {

/// Addresses of one node: for callers, for the directory and for readiness checks.
struct node_addresses {
    endpoint callers;
    endpoint directory;
    endpoint readiness;
};

/// A simulated caller. Resolves node addresses through the directory, reuses its connection while the directory lists the node, and
/// records each call.
class soak_caller {
public:
    /// `nodes` must outlive the caller; the index of a node in it is its number in the recorded calls.
    soak_caller(asio::io_context&, std::span<const node_addresses> nodes, uint64_t seed, std::string name);

    /// Makes `run` return after the current call.
    auto stop() -> void { m_isStopping = true; }
    /// Sends calls one after another until `stop`.
    auto run() -> task<>;
    auto calls() const -> const std::vector<soak_call>& { return m_calls; }

private:
    auto resolve() -> task<>;
    auto connect() -> task<bool>;
    auto call() -> task<>;
    auto pause(duration) -> task<>;

    asio::io_context& m_context;
    std::span<const node_addresses> m_nodes;
    random_generator m_random;
    std::string m_name;
    uint64_t m_count { 0 };
    bool m_isStopping { false };
    std::vector<endpoint> m_resolved;
    time_point m_resolvedUntil {};
    std::optional<uint32_t> m_node;
    tcp_socket m_socket;
    beast::flat_buffer m_buffer;
    std::vector<soak_call> m_calls;
};

/// Sends one GET request on a new connection. The status is 0 when there is no complete answer by the deadline.
auto fetch(asio::io_context&, endpoint, std::string target, time_point deadline) -> task<http::response<http::string_body>>;

} // namespace gypsumhub
