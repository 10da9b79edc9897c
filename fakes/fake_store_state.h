#pragma once

#include "gypsumhub/core/time_point.h"
#include "gypsumhub/store/store.h"
#include "gypsumhub/store/store_call_counts.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace gypsumhub {

/// Faults that are injected into a fake store.
struct store_faults {
    /// No call is answered before this time.
    time_point outageUntil {};
    /// Duration of each call.
    duration delay {};
    /// Number of next writes that take effect but whose reply is lost.
    uint32_t lostReplies { 0 };
    /// Number of next writes that are lost before they take effect.
    uint32_t lostRequests { 0 };
    /// Whether watches report no updates.
    bool silentWatches { false };
};

/// An in-memory key-value store with the operations that the proxy uses, call counts, and snapshots that can be restored.
/// Not thread-safe.
class fake_store_state {
public:
    /// The entry of a key, or nothing. Removes entries of expired leases first.
    auto find(std::string_view key, time_point now) -> std::optional<store_entry>;
    /// Writes if the key's revision is `expectedRevision` (0 for an absent key). Returns the new revision, or nothing on a mismatch.
    auto putIf(std::string_view key, uint64_t expectedRevision, std::string_view value, int64_t lease, time_point now) -> std::optional<uint64_t>;
    auto remove(std::string_view key) -> void;
    /// Creates a lease and returns its id.
    auto grantLease(time_point expiry) -> int64_t;
    /// Extends a lease. Returns false when the lease has expired.
    auto keepLease(int64_t lease, time_point expiry, time_point now) -> bool;

    /// Saves the content under `name`.
    auto snapshot(const std::string& name) -> void;
    /// Restores the content from a snapshot. Returns false when there is no such snapshot.
    auto restore(const std::string& name) -> bool;

    auto revision() const -> uint64_t { return m_content.revision; }
    auto keyCount() const -> size_t { return m_content.entries.size(); }
    auto valueBytes() const -> size_t;

    store_faults faults;
    store_call_counts counts;

private:
    /// A value with the revision of its last write; lease 0 means none.
    struct stored_value {
        std::string value;
        uint64_t modRevision { 0 };
        int64_t lease { 0 };
    };
    /// Everything that a snapshot contains.
    struct store_content {
        std::map<std::string, stored_value, std::less<>> entries;
        std::map<int64_t, time_point> leaseExpiry;
        uint64_t revision { 1 };
    };

    auto expireLeases(time_point now) -> void;

    store_content m_content;
    std::map<std::string, store_content> m_snapshots;
    int64_t m_nextLease { 7000 };
};

} // namespace gypsumhub
