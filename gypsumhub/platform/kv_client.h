#pragma once

#include "gypsumhub/config/configuration.h"
#include "gypsumhub/store/http_reading.h"
#include "gypsumhub/store/keyspace.h"

#include <boost/json/value.hpp>
#include <map>
#include <memory>
#include <vector>

namespace gypsumhub {

/// HTTP client of the platform's key-value store. Not thread-safe.
class kv_client final : public keyspace {
public:
    /// The bytes of answers that are being received, and of listings, are held against the budget.
    kv_client(asio::io_context&, const endpoint& store, buffer_budget&);
    ~kv_client() override;

    auto list(std::string prefix, time_point deadline) -> task<keyspace_result<key_listing>> override;
    /// Lists from another node the entries under a prefix in the buckets that differ from the given digests.
    auto listDifference(std::string prefix, bucket_digests known, time_point deadline) -> task<keyspace_result<key_listing>>;
    auto follow(std::string prefix, uint64_t revision, time_point waitUntil) -> task<keyspace_result<key_changes>> override;
    auto grantLease(duration ttl, time_point deadline) -> task<keyspace_result<uint64_t>> override;
    auto renewLease(uint64_t lease, time_point deadline) -> task<keyspace_status> override;
    auto endLease(uint64_t lease, time_point deadline) -> task<keyspace_status> override;
    auto put(std::string key, std::string value, uint64_t lease, time_point deadline) -> task<keyspace_status> override;
    auto leaseOf(std::string key, time_point deadline) -> task<keyspace_result<uint64_t>> override;

    auto era() const -> uint16_t override { return m_era; }
    auto minCallDelay() const -> duration override { return m_minCallDelay; }
    /// Number of calls since construction.
    auto callCount() const -> uint64_t { return m_calls; }

private:
    struct connection;
    /// The status of a call, the parsed JSON body of its answer, and the era of the store that gave it.
    struct reply {
        keyspace_status status { keyspace_status::Unanswered };
        boost::json::value body;
        uint16_t era { 0 };
    };

    auto listPages(std::string path, time_point deadline) -> task<keyspace_result<key_listing>>;
    auto call(http::verb, std::string path, std::string body, time_point deadline) -> task<reply>;
    auto acquireConnection() -> std::unique_ptr<connection>;

    asio::io_context& m_context;
    endpoint m_store;
    buffer_budget& m_budget;
    /// Idle connections, kept open for later calls. A connection whose call failed is not reused.
    std::vector<std::unique_ptr<connection>> m_idle;
    uint64_t m_calls { 0 };
    uint16_t m_era { 0 };
    duration m_minCallDelay { seconds(10) };
};

/// Formats entries for another node in the format of the store, so that the same client reads both.
auto formatListing(const key_listing&) -> std::string;

/// A request of another node for a listing.
struct listing_query {
    std::string prefix;
    /// What the other node has. Only buckets that differ from it are listed.
    bucket_digests known;
};

/// Parses a listing request, or returns nullopt for another request.
auto readListingQuery(std::string_view target) -> std::optional<listing_query>;

} // namespace gypsumhub
