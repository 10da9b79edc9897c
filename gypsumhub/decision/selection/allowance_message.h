#pragma once

#include "gypsumhub/core/time_point.h"

#include <cstdint>
#include <string>
#include <vector>

namespace gypsumhub {

/// A node's need for credits of one customer. A credit is the right to serve one of its requests.
struct credit_demand {
    std::string customer;
    /// For requests that wait.
    uint32_t count { 0 };
    /// For requests that are expected within the lifetime of a credit.
    uint32_t ahead { 0 };
    /// Requests of the customer that arrived at the node since it asked last, also those that were refused.
    uint32_t arrivals { 0 };
};

/// Asks the distributor of the node's data centre for credits.
struct credit_request {
    uint64_t ticket { 0 };
    std::vector<credit_demand> demands;
};

struct customer_credits {
    std::string customer;
    uint32_t count { 0 };
    /// When to ask again, from now. Only if fewer credits were granted than requests wait.
    duration retryAfter {};
    /// The distributor has no lease yet. More credits may be granted within milliseconds, so the customer is not over its limit.
    bool isPending { false };
};

struct credit_grant {
    uint64_t ticket { 0 };
    std::vector<customer_credits> credits;
};

/// What the distributor of a data centre needs of one customer's limit, and what it holds.
struct lease_demand {
    std::string customer;
    double requestsPerSecond { 0 };
    double heldFraction { 0 };
    time_point heldUntil {};
};

/// Asks the distributor of the fleet for leases. Tickets of one asker increase.
struct lease_request {
    std::string asker;
    std::string dataCentre;
    uint64_t ticket { 0 };
    uint32_t bucket { 0 };
    bool isForwarded { false };
    std::vector<lease_demand> demands;
    /// Not 0: the asker has become the distributor of the fleet and asks the receiver which leases it holds.
    uint64_t probe { 0 };
    /// The answer to the probe with this number, with the leases that the asker holds. No request.
    bool isStatement { false };
    /// The answer counts for nothing: the asker distributes the bucket itself, or holds more leases than it can state.
    bool isBlocking { false };
};

struct customer_lease {
    std::string customer;
    /// Of the customer's limit.
    double fraction { 0 };
    /// Counted by the asker from the time of its request, so that clocks need not agree.
    duration length {};
    /// The data centre held nothing before. Its token bucket then does not start empty.
    bool isFirst { false };
};

struct lease_grant {
    uint64_t ticket { 0 };
    uint32_t bucket { 0 };
    std::vector<customer_lease> leases;
};

/// Customers in one datagram about credits or leases, so that it fits without IP fragmentation.
constexpr auto maxAllowanceEntries = size_t { 24 };

} // namespace gypsumhub
