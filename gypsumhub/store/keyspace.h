#pragma once

#include "gypsumhub/core/asio_types.h"
#include "gypsumhub/core/fault.h"
#include "gypsumhub/core/time_point.h"
#include "gypsumhub/store/store.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace gypsumhub {

/// One change under a watched prefix.
struct key_change {
    store_entry entry;
    bool isRemoval { false };
};

/// All entries under a prefix. Pages of a long listing are no snapshot: changes after `revision` must be watched.
struct key_listing {
    std::vector<store_entry> entries;
    uint64_t revision { 0 };
};

/// The changes after a revision, and the revision to go on from.
struct key_changes {
    std::vector<key_change> changes;
    uint64_t revision { 0 };
};

/// How a call to the store ended.
enum class keyspace_status : uint8_t {
    Ok,
    /// The store refused the call; nothing was done.
    Refused,
    /// No answer in time; a write may have been done, or may be done later.
    Unanswered,
    /// The changes after the given revision are no longer kept; list again.
    HistoryCompacted,
    /// The lease has ended.
    LeaseExpired,
};

template <typename T>
struct keyspace_result {
    keyspace_status status { keyspace_status::Unanswered };
    T value {};
};

/// The platform's key-value service for programs that follow prefixes and hold leases, without blocking a thread.
/// Deadlines are instants of the boot-time clock.
class keyspace {
public:
    virtual ~keyspace() = default;

    virtual auto list(std::string prefix, time_point deadline) -> task<keyspace_result<key_listing>> = 0;
    /// Waits for a change after `revision`, at most until `waitUntil`.
    virtual auto follow(std::string prefix, uint64_t revision, time_point waitUntil) -> task<keyspace_result<key_changes>> = 0;
    /// Grants a lease of `ttl` and returns its number.
    virtual auto grantLease(duration ttl, time_point deadline) -> task<keyspace_result<uint64_t>> = 0;
    virtual auto renewLease(uint64_t lease, time_point deadline) -> task<keyspace_status> = 0;
    virtual auto endLease(uint64_t lease, time_point deadline) -> task<keyspace_status> = 0;
    /// The shortest time that a call took which the store answers at once.
    virtual auto minCallDelay() const -> duration = 0;
    /// Writes a key that goes with the lease.
    virtual auto put(std::string key, std::string value, uint64_t lease, time_point deadline) -> task<keyspace_status> = 0;
};

} // namespace gypsumhub
