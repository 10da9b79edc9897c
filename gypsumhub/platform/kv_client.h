#pragma once

#include "gypsumhub/config/configuration.h"
#include "gypsumhub/store/keyspace.h"

#include <boost/json/value.hpp>
#include <map>
#include <memory>
#include <vector>

namespace gypsumhub {

/// The platform's key-value service over HTTP. One thread.
class kv_client final : public keyspace {
public:
    kv_client(asio::io_context&, const endpoint& store);
    ~kv_client() override;

    auto list(std::string prefix, time_point deadline) -> task<keyspace_result<key_listing>> override;
    auto follow(std::string prefix, uint64_t revision, time_point waitUntil) -> task<keyspace_result<key_changes>> override;
    auto grantLease(duration ttl, time_point deadline) -> task<keyspace_result<uint64_t>> override;
    auto renewLease(uint64_t lease, time_point deadline) -> task<keyspace_status> override;
    auto endLease(uint64_t lease, time_point deadline) -> task<keyspace_status> override;
    auto put(std::string key, std::string value, uint64_t lease, time_point deadline) -> task<keyspace_status> override;

    auto minCallDelay() const -> duration override { return m_leastDelay; }
    /// Calls sent since the start.
    auto callCount() const -> uint64_t { return m_calls; }

private:
    struct connection;
    struct reply {
        keyspace_status status { keyspace_status::Unanswered };
        boost::json::value body;
    };

    auto call(http::verb, std::string path, std::string body, time_point deadline) -> task<reply>;
    auto takeConnection() -> std::unique_ptr<connection>;

    asio::io_context& m_context;
    endpoint m_store;
    /// Kept open between calls; a connection whose call failed is never used again.
    std::vector<std::unique_ptr<connection>> m_idle;
    uint64_t m_calls { 0 };
    duration m_leastDelay { seconds(10) };
};

/// Entries as a node hands them to another in the store's own form, so that the same client reads both.
auto formatListing(const key_listing&) -> std::string;

/// The prefix that a request for a listing names, or nothing when it is another request.
auto readListingPrefix(std::string_view target) -> std::optional<std::string>;

} // namespace gypsumhub
