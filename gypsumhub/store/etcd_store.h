#pragma once

#include "gypsumhub/config/configuration.h"
#include "gypsumhub/store/call_budget.h"
#include "gypsumhub/store/endpoint_backoff.h"
#include "gypsumhub/store/http_connection.h"
#include "gypsumhub/store/store.h"
#include "gypsumhub/store/store_call_counts.h"

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace gypsumhub {

/// Client of the platform's key-value service by etcd's v3 protocol in its JSON mapping over HTTP. Deadlines are wall-clock instants.
///
/// Thread-safe. Calls other than `watch` are serialized and use one connection per endpoint; each watch has its own connection. Endpoints are
/// tried in order, starting with the one that answered last and without those in backoff. A call beyond the budget fails with
/// `StoreBudgetSpent` and sends nothing.
class etcd_store final : public store {
public:
    /// Endpoints and limits of the client.
    struct settings {
        std::vector<endpoint> endpoints;
        call_budget::settings budget {};
        endpoint_backoff::settings backoff {};
        /// Size limit of values, in bytes.
        size_t maxValueBytes { 1024 * 1024 };
        /// Seed of the backoff jitter; should differ between nodes.
        uint64_t seed { 1 };
    };

    explicit etcd_store(settings);

    auto get(std::string_view key, time_point deadline) -> leaf::result<std::optional<store_entry>> override;
    auto compareAndSwap(std::string_view key, uint64_t expectedRevision, std::string_view value, time_point deadline) -> leaf::result<uint64_t> override;
    auto remove(std::string_view key, time_point deadline) -> leaf::result<void> override;
    auto acquireLease(std::string_view name, std::string_view holder, time_point validUntil, time_point deadline)
        -> leaf::result<std::optional<time_point>> override;
    auto watch(std::string_view key, uint64_t afterRevision, time_point deadline) -> leaf::result<std::optional<store_entry>> override;

    auto callCounts() const -> store_call_counts;

private:
    /// Connection and backoff of one endpoint.
    struct store_endpoint {
        store_endpoint(const endpoint& address, endpoint_backoff::settings limits, uint64_t seed)
            : connection(address)
            , backoff(limits, seed)
        {
        }

        http_connection connection;
        endpoint_backoff backoff;
    };
    using exchange_function = std::function<http_reply(http_connection&)>;

    auto post(std::string_view path, std::string_view body, time_point deadline, uint64_t store_call_counts::*counter) -> leaf::result<std::string>;
    auto acquireCall(uint64_t store_call_counts::*counter) -> leaf::result<void>;
    /// Tries the endpoints one after another until the request has been sent to one of them.
    auto tryEndpoints(const exchange_function&) -> http_reply;
    /// The endpoint for the next watch; nothing when no endpoint is configured.
    auto watchAddress() -> std::optional<endpoint>;
    auto skipPreferred() -> void;
    auto grantLease(time_point validUntil, time_point deadline) -> leaf::result<int64_t>;
    auto keepLeaseAlive(int64_t lease, time_point deadline) -> leaf::result<bool>;

    settings m_settings;
    mutable std::mutex m_budgetMutex;
    call_budget m_budget;
    store_call_counts m_counts;
    /// Locked for the duration of a call; guards the endpoints and the leases.
    std::mutex m_callMutex;
    std::vector<std::unique_ptr<store_endpoint>> m_endpoints;
    /// Index of the endpoint that is tried first: the one that answered last.
    size_t m_preferred { 0 };
    std::map<std::string, int64_t, std::less<>> m_leases;
};

} // namespace gypsumhub
