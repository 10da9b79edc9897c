#pragma once

#include "gypsumhub/core/time_point.h"

#include <cstdint>
#include <map>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace gypsumhub {

/// A service that takes a share of a route's requests.
struct weighted_service {
    std::string service;
    uint32_t weight { 1 };
};

/// How requests of one host and path prefix are served.
struct route {
    std::string name;
    std::string host;
    /// Begins and ends with a slash.
    std::string prefix;
    /// Whether a request may run more than once.
    bool isRetryable { false };
    /// Most targets that one request may be sent to.
    uint32_t maxAttempts { 1 };
    /// Longest time that a caller is kept waiting.
    duration timeLimit { seconds(5) };
    /// Answers within this time are worth most to the caller.
    duration latencyTarget { seconds(1) };
    /// 0 is the most urgent.
    uint32_t priority { 0 };
    std::vector<weighted_service> services;
};

/// What callers may send, and how long they may take.
struct caller_limits {
    uint32_t headerBytes { 16 * 1024 };
    uint32_t bodyBytes { 8 * 1024 * 1024 };
    duration headerReadLimit { seconds(5) };
    duration idleLimit { seconds(15) };
};

/// One version of the routes, immutable once built.
class route_table {
public:
    /// Grows with each change; of two tables the one with the higher version is newer.
    auto version() const -> uint64_t { return m_version; }
    auto limits() const -> const caller_limits& { return m_limits; }
    auto routes() const -> std::span<const route> { return m_routes; }

    /// The route of `host` with the longest prefix that begins `path`, or null.
    auto find(std::string_view host, std::string_view path) const -> const route*;
    /// The routes of `host`, longest prefix first.
    auto routesOf(std::string_view host) const -> std::span<const uint32_t>;

private:
    friend class route_table_builder;

    struct text_hash {
        using is_transparent = void;
        auto operator()(std::string_view text) const -> size_t { return std::hash<std::string_view> {}(text); }
    };

    uint64_t m_version { 0 };
    caller_limits m_limits;
    std::vector<route> m_routes;
    /// Indices into `m_routes` by host, longest prefix first.
    std::unordered_map<std::string, std::vector<uint32_t>, text_hash, std::equal_to<>> m_byHost;
};

} // namespace gypsumhub
