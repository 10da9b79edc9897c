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

/// The platform's key-value service by etcd's v3 protocol in its JSON mapping over HTTP. Deadlines are wall clock instants.
///
/// Any thread may call. Calls other than `watch` take turns on one connection an endpoint; each watch has its own.
/// Endpoints are tried in order, those in backoff are passed over. A call beyond the budget fails with
/// `StoreBudgetSpent` and sends nothing.
class etcd_store final : public store {
public:
    struct settings {
        std::vector<endpoint> endpoints;
        call_budget::settings budget {};
        endpoint_backoff::settings backoff {};
        /// Largest value that may be written, in bytes.
        size_t maxValueBytes { 1024 * 1024 };
        /// Seeds the jitter; nodes should differ.
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
    struct peer {
        peer(const endpoint& address, endpoint_backoff::settings limits, uint64_t seed)
            : connection(address)
            , backoff(limits, seed)
        {
        }

        http_connection connection;
        endpoint_backoff backoff;
    };
    using exchange_function = std::function<http_reply(http_connection&)>;

    auto post(std::string_view path, std::string_view body, time_point deadline, uint64_t store_call_counts::*counter) -> leaf::result<std::string>;
    auto takeCall(uint64_t store_call_counts::*counter) -> leaf::result<void>;
    /// Tries the endpoints in turn until one takes the request.
    auto tryEndpoints(const exchange_function&) -> http_reply;
    /// The endpoint for the next watch, or nothing when there is none.
    auto watchAddress() -> std::optional<endpoint>;
    auto passOverPreferred() -> void;
    auto grantLease(time_point validUntil, time_point deadline) -> leaf::result<int64_t>;
    auto keepLease(int64_t lease, time_point deadline) -> leaf::result<bool>;

    settings m_settings;
    mutable std::mutex m_budgetMutex;
    call_budget m_budget;
    store_call_counts m_counts;
    /// Held for the length of a call; guards the connections and the leases.
    std::mutex m_callMutex;
    std::vector<std::unique_ptr<peer>> m_peers;
    /// The endpoint that answered last; tried first.
    size_t m_preferred { 0 };
    std::map<std::string, int64_t, std::less<>> m_leases;
};

} // namespace gypsumhub
