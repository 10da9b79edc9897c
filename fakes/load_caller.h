#pragma once

#include "fakes/load_report.h"
#include "gypsumhub/config/configuration.h"
#include "gypsumhub/core/asio_types.h"
#include "gypsumhub/core/random_generator.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace gypsumhub {

/// Load generator for one service. It queries the nodes for addresses, caches them until they expire, sends a mixed load, retries
/// requests with outcome "not-run" or "unknown", and checks the answers. Runs for a fixed time on the calling thread.
class load_caller {
public:
    /// Endpoints, rate and mix of the load.
    struct settings {
        /// Nodes that are queried for addresses, in order.
        std::vector<endpoint> nodes;
        /// Fake targets whose execution counts are read at the end. May be empty.
        std::vector<endpoint> targets;
        std::string service;
        /// Path of the requests.
        std::string path { "/" };
        uint32_t requestsPerSecond { 100 };
        uint32_t seconds { 5 };
        /// Percentage of POST requests, which have an idempotency key.
        uint32_t nonIdempotentPercent { 30 };
        uint32_t deadlineMs { 2000 };
        /// Maximum number of attempts per request.
        uint32_t maxAttempts { 3 };
        uint64_t seed { 1 };
    };

    explicit load_caller(settings);

    /// Sends the load, reads the execution counts of the targets and returns the outcomes.
    auto run() -> load_report;

private:
    struct connection;
    struct exchange_result;
    using connection_ptr = std::shared_ptr<connection>;
    using response_type = http::response<http::string_body>;

    auto schedule() -> task<>;
    auto sendOne(uint64_t number) -> task<>;
    auto attempt(request_record&, bool nonIdempotent, uint32_t number) -> task<>;
    auto exchange(const endpoint&, const http::request<http::string_body>&, time_point deadline) -> task<exchange_result>;
    auto connect(const endpoint&) -> task<connection_ptr>;
    auto refreshNodes() -> task<>;
    auto checkAnswer(request_record&, const std::string& id, const response_type&) -> void;
    auto readCounts() -> task<>;

    settings m_settings;
    asio::io_context m_ioContext { 1 };
    random_generator m_random;
    std::string m_prefix;
    std::vector<endpoint> m_addresses;
    time_point m_addressesUntil;
    std::map<endpoint, std::vector<connection_ptr>> m_idle;
    load_report m_report;
};

} // namespace gypsumhub
