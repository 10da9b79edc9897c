#pragma once

#include "gypsumhub/core/time_point.h"

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <span>
#include <string>
#include <string_view>

namespace gypsumhub {

/// Histogram of durations with fixed bucket bounds.
class latency_histogram {
public:
    /// Upper bounds in milliseconds, chosen for deadlines of one to a few seconds.
    static constexpr auto bounds = std::to_array<int64_t>({ 5, 10, 25, 50, 100, 200, 400, 800, 1500, 3000, 6000 });

    auto record(duration) -> void;
    /// Counts per bucket, not cumulative. The last one holds durations above all bounds.
    auto counts() const -> std::span<const uint64_t> { return m_counts; }
    auto sum() const -> duration { return m_sum; }

private:
    std::array<uint64_t, bounds.size() + 1> m_counts {};
    duration m_sum {};
};

/// Requests of a customer with a limit at this node.
struct customer_counters {
    uint64_t admitted { 0 };
    uint64_t overLimit { 0 };
    uint64_t unavailable { 0 };
};

/// Counters of a node since its start.
struct gateway_counters {
    /// Bounds the size of the metrics page.
    static constexpr auto maxCustomers = size_t { 256 };

    auto ofCustomer(std::string_view name) -> customer_counters&;

    uint64_t requests { 0 };
    /// How long the start took until the node was ready.
    duration startTime {};
    uint64_t pipelined { 0 };
    uint64_t answered { 0 };
    uint64_t targetFailures { 0 };
    uint64_t refused { 0 };
    uint64_t unknownOutcomes { 0 };
    /// Requests admitted to wait although they would miss their latency target, and those of them that were refused in the end.
    uint64_t lateWaits { 0 };
    uint64_t lateWaitsInVain { 0 };
    /// Requests sent to another target since they were later than the 97th percentile of the response times.
    uint64_t earlyResends { 0 };
    uint64_t noRoute { 0 };
    /// Without a valid key of a customer.
    uint64_t unauthorized { 0 };
    /// With a key, while the confirmation of the configuration was too old.
    uint64_t unconfirmedRefusals { 0 };
    uint64_t confirmationRequests { 0 };
    uint64_t confirmationsGiven { 0 };
    uint64_t confirmationStoreReads { 0 };
    uint64_t badRequests { 0 };
    uint64_t callersDisconnected { 0 };
    uint64_t retries { 0 };
    uint64_t retriesDenied { 0 };
    uint64_t declinedByTarget { 0 };
    uint64_t connectFailures { 0 };
    uint64_t newConnections { 0 };
    uint64_t pathProbes { 0 };
    uint64_t pathLosses { 0 };
    uint64_t relayed { 0 };
    uint64_t relaysNotTaken { 0 };
    uint64_t relaysReceived { 0 };
    uint64_t outcomesSent { 0 };
    uint64_t outcomesReceived { 0 };
    uint64_t storeFailures { 0 };
    /// Calls by purpose: to the store, and listings requested from other nodes.
    std::map<std::string, uint64_t, std::less<>> storeCalls;
    std::map<std::string, uint64_t, std::less<>> peerListings;
    uint64_t badDatagrams { 0 };
    uint64_t targetCrashes { 0 };
    uint64_t quarantineRefusals { 0 };
    uint64_t malformedLimits { 0 };
    uint64_t lateRegistrations { 0 };
    uint64_t leavingStatements { 0 };
    uint64_t pauses { 0 };
    uint64_t malformedPauses { 0 };
    uint64_t invalidStatuses { 0 };
    uint64_t permitRequests { 0 };
    uint64_t permitsGranted { 0 };
    uint64_t permitsDenied { 0 };
    /// By customer with a limit. At most `maxCustomers`; further ones are counted under the empty name.
    std::map<std::string, customer_counters, std::less<>> customers;
    uint64_t creditRequests { 0 };
    uint64_t creditsGranted { 0 };
    uint64_t creditsDenied { 0 };
    uint64_t leaseRequests { 0 };
    uint64_t leasesGranted { 0 };
    uint64_t internalFailures { 0 };
    /// Includes those of the end of the process, which are only logged.
    uint64_t undeliveredAnswers { 0 };
    latency_histogram queueingDelay;
    latency_histogram responseTime;
    latency_histogram totalTime;
};

/// One counter with its name and help text for the metrics page.
struct counter_row {
    const char* name;
    const char* help;
    uint64_t gateway_counters::*value;
};

auto counterTable() -> std::span<const counter_row>;

} // namespace gypsumhub
