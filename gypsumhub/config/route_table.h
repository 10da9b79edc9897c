#pragma once

#include "gypsumhub/config/customer.h"
#include "gypsumhub/core/time_point.h"

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace gypsumhub {

/// A service that receives a share of a route's requests, in proportion to its weight.
struct weighted_service {
    std::string service;
    uint32_t weight { 1 };
};

/// Services and limits for the requests to one host and path prefix.
struct route {
    std::string name;
    std::string host;
    /// Begins and ends with a slash.
    std::string prefix;
    /// Whether a request may run more than once, so that it can be retried after it was sent.
    bool isRetryable { false };
    /// Maximum number of targets that one request is sent to.
    uint32_t maxAttempts { 1 };
    /// Timeout of a request, counted from its arrival.
    duration timeLimit { seconds(5) };
    /// Answers within this time are the most useful to the caller.
    duration latencyTarget { seconds(1) };
    /// 0 is the highest priority.
    uint32_t priority { 0 };
    std::vector<weighted_service> services;
    /// Requests need no key of a customer.
    bool isPublic { false };
};

/// Limits on the size of requests and on the time that callers take to send them.
struct caller_limits {
    uint32_t headerBytes { 16 * 1024 };
    uint32_t bodyBytes { 8 * 1024 * 1024 };
    duration headerReadLimit { seconds(5) };
    duration idleLimit { seconds(15) };
};

/// One version of the routes, immutable once built.
class route_table {
public:
    /// Increases with each change, so the table with the higher version is the newer one.
    auto version() const -> uint64_t { return m_version; }
    auto limits() const -> const caller_limits& { return m_limits; }
    auto routes() const -> std::span<const route> { return m_routes; }
    /// Names of all services, including those that no route uses.
    auto services() const -> const std::set<std::string, std::less<>>& { return m_services; }

    /// The route of `host` with the longest prefix of `path`, or null when none matches.
    auto find(std::string_view host, std::string_view path) const -> const route*;
    /// Indices into `routes()` of the routes of `host`, longest prefix first.
    auto routesOf(std::string_view host) const -> std::span<const uint32_t>;

    /// Whether requests need the key of a customer, except on public routes.
    auto hasCustomers() const -> bool { return !m_customers.empty(); }
    auto customers() const -> std::span<const customer> { return m_customers; }
    /// The customer that holds the key, or null.
    auto findCustomer(std::string_view key) const -> const customer*;
    /// The customer of this name, or null.
    auto customerNamed(std::string_view name) const -> const customer*;

private:
    friend class route_table_builder;

    /// Allows look-ups by `std::string_view` without a copy.
    struct text_hash {
        using is_transparent = void;
        auto operator()(std::string_view text) const -> size_t { return std::hash<std::string_view> {}(text); }
    };

    uint64_t m_version { 0 };
    caller_limits m_limits;
    std::vector<route> m_routes;
    std::set<std::string, std::less<>> m_services;
    /// Indices into `m_routes` by host, longest prefix first.
    std::unordered_map<std::string, std::vector<uint32_t>, text_hash, std::equal_to<>> m_byHost;
    std::vector<customer> m_customers;
    /// Indices into `m_customers`.
    std::unordered_map<std::string, uint32_t, text_hash, std::equal_to<>> m_byKey;
    std::unordered_map<std::string, uint32_t, text_hash, std::equal_to<>> m_byCustomer;
};

} // namespace gypsumhub
