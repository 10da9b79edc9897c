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

/// Faults that a store stand-in shows.
struct store_faults {
    /// Until this instant no call is answered.
    time_point outageUntil {};
    /// Time that each call takes.
    duration delay {};
    /// Writes to come that take effect and whose reply is lost.
    uint32_t lostReplies { 0 };
    /// Writes to come that are lost before they take effect.
    uint32_t lostRequests { 0 };
    /// Watches never report anything.
    bool silentWatches { false };
};

/// Content of a key-value service in memory with the operations that the product uses, call counts, and snapshots to put it
/// back in time. Not thread-safe.
class fake_store_state {
public:
    auto find(std::string_view key, time_point now) -> std::optional<store_entry>;
    /// Writes if the key's revision is `expectedRevision`; returns the new revision, or nothing when it was another.
    auto putIf(std::string_view key, uint64_t expectedRevision, std::string_view value, int64_t lease, time_point now) -> std::optional<uint64_t>;
    auto remove(std::string_view key) -> void;
    auto grantLease(time_point expiry) -> int64_t;
    /// False when the lease has lapsed.
    auto keepLease(int64_t lease, time_point expiry, time_point now) -> bool;

    /// Remembers the content under `name`.
    auto snapshot(const std::string& name) -> void;
    /// Puts the content back as it was; false when there is no such snapshot.
    auto restore(const std::string& name) -> bool;

    auto revision() const -> uint64_t { return m_content.revision; }
    auto keyCount() const -> size_t { return m_content.entries.size(); }
    auto valueBytes() const -> size_t;

    store_faults faults;
    store_call_counts counts;

private:
    struct stored_value {
        std::string value;
        uint64_t modRevision { 0 };
        int64_t lease { 0 };
    };
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
