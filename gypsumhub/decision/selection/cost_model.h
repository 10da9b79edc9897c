#pragma once

#include "gypsumhub/decision/selection/cost_estimate.h"
#include "gypsumhub/decision/selection/cost_features.h"

#include <array>
#include <cstddef>
#include <list>
#include <string_view>
#include <unordered_map>

namespace gypsumhub {

/// Learns the work of requests from the times of their successful answers.
///
/// Answers the load of a service whose requests differ: their work varies by route, customer, path and body by a factor of several, and with
/// few slots per target one long request decides how long the next one waits. The logarithm of the work is the sum of a mean of the service
/// and of one offset for each property of the request. An offset is learned from what the less specific properties leave
/// unexplained, is shrunk towards zero while it has few samples, and is used only if it has reduced the squared error of the requests that it
/// applied to. All averages are exponentially weighted.
class cost_model {
public:
    /// Bounds the memory to about 250 kB. The keys are partly chosen by callers.
    static constexpr auto maxKeys = size_t { 2048 };

    auto estimate(const cost_features&) const -> cost_estimate;
    /// Updates the estimates with the time from sending a request to its successful answer. A sample of low weight (below 1) is one that
    /// may include time in which the request waited at its target.
    auto record(const cost_features&, duration, double weight = 1) -> void;

    auto keyCount() const -> size_t { return m_byUse.size(); }
    /// Keys removed to make room.
    auto evictions() const -> uint64_t { return m_evictions; }
    /// The mean factor by which the estimates of the service were above or below the samples; 1 without samples.
    auto meanErrorFactor(std::string_view service) const -> double;

private:
    /// What is known of one key: one property of the requests of one route, or the route or the service itself.
    struct key_statistics {
        uint64_t key { 0 };
        /// Sum of the weights of all samples.
        double samples { 0 };
        /// Added to the logarithm that the less specific keys estimate.
        double offset { 0 };
        /// By how much the offset reduces the mean squared error.
        double gain { 0 };
        /// Of the logarithm around the estimate that includes the offset.
        double variance { 0 };
        /// Mean absolute error of the logarithm. Only of services.
        double error { 0 };
    };

    /// An estimate while it is being computed.
    struct partial_estimate {
        double logarithm;
        double variance;
        cost_level level { cost_level::Prior };
    };

    struct level_key {
        cost_level level;
        uint64_t key;
        /// The request has the property.
        bool applies;
    };

    static auto keysOf(const cost_features&) -> std::array<level_key, 5>;
    static auto serviceKey(std::string_view service) -> uint64_t;
    static auto isUsed(const key_statistics&, cost_level, double variance) -> bool;
    /// Adds what the key contributes.
    static auto add(partial_estimate&, const key_statistics&, cost_level) -> void;
    static auto prior() -> partial_estimate;
    auto find(uint64_t key) const -> const key_statistics*;
    /// Finds or adds a key and makes it the most recently used one.
    auto use(uint64_t key) -> key_statistics&;

    /// Most recently used first.
    std::list<key_statistics> m_byUse;
    std::unordered_map<uint64_t, std::list<key_statistics>::iterator> m_keys;
    uint64_t m_evictions { 0 };
};

} // namespace gypsumhub
