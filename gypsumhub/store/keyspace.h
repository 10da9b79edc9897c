#pragma once

#include "gypsumhub/core/asio_types.h"
#include "gypsumhub/core/fault.h"
#include "gypsumhub/core/time_point.h"
#include "gypsumhub/decision/selection/bucket_digests.h"
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

/// All entries under a prefix, or those in some buckets of it. The pages of a long listing are not a consistent snapshot, so changes after `revision` must be followed.
struct key_listing {
    std::vector<store_entry> entries;
    uint64_t revision { 0 };
    /// The buckets of which all entries are listed.
    bucket_digests::bucket_set buckets { bucket_digests::bucket_set().set() };

    /// Total size of the values.
    auto valueBytes() const -> size_t
    {
        auto bytes = size_t { 0 };
        for (auto& entry : entries)
            bytes += entry.value.size();
        return bytes;
    }
};

/// The changes after a revision, and the revision to follow from next.
struct key_changes {
    std::vector<key_change> changes;
    uint64_t revision { 0 };
};

/// How a call to the store ended.
enum class keyspace_status : uint8_t {
    Ok,
    /// The store refused the call; it had no effect.
    Refused,
    /// No answer in time. A write may have taken effect, or may still take effect later.
    Unanswered,
    /// The store no longer has the changes after the given revision; list the prefix again.
    HistoryCompacted,
    /// The lease has expired or was ended.
    LeaseExpired,
};

/// Status of a call and its result, which is set when the status is `Ok`.
template <typename T>
struct keyspace_result {
    keyspace_status status { keyspace_status::Unanswered };
    T value {};
};

/// The platform's key-value service as coroutines, for programs that follow prefixes and hold leases without blocking a thread. Deadlines are
/// instants of the boot-time clock.
class keyspace {
public:
    virtual ~keyspace() = default;

    virtual auto list(std::string prefix, time_point deadline) -> task<keyspace_result<key_listing>> = 0;
    /// Waits for changes after `revision`, at most until `waitUntil`. Revisions are positions (core/store_position.h); one of an earlier
    /// era counts as compacted.
    virtual auto follow(std::string prefix, uint64_t revision, time_point waitUntil) -> task<keyspace_result<key_changes>> = 0;
    /// Creates a lease with the given time to live and returns its number.
    virtual auto grantLease(duration ttl, time_point deadline) -> task<keyspace_result<uint64_t>> = 0;
    virtual auto renewLease(uint64_t lease, time_point deadline) -> task<keyspace_status> = 0;
    virtual auto endLease(uint64_t lease, time_point deadline) -> task<keyspace_status> = 0;
    /// The lease that a key is attached to; 0 when the key is absent or has none.
    virtual auto leaseOf(std::string key, time_point deadline) -> task<keyspace_result<uint64_t>> = 0;
    /// The highest era that the store named so far. It rises when the store comes back from an older copy, and its revisions go back.
    virtual auto era() const -> uint16_t = 0;
    /// The shortest measured duration of a call that the store answers without waiting.
    virtual auto minCallDelay() const -> duration = 0;
    /// Writes a key that the store removes when the lease ends.
    virtual auto put(std::string key, std::string value, uint64_t lease, time_point deadline) -> task<keyspace_status> = 0;
};

} // namespace gypsumhub
