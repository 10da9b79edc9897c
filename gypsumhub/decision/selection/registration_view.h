#pragma once

#include "gypsumhub/config/target_registration.h"
#include "gypsumhub/core/time_point.h"
#include "gypsumhub/decision/selection/bucket_digests.h"

#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace gypsumhub {

/// A change of the view that affects routing.
struct view_change {
    target_registration registration;
    bool isRemoval { false };
};

/// The origin of a removal or a listing.
enum class view_source : uint8_t {
    Store,
    Node,
};

/// The registrations of all targets as of the newest revision seen, from the store or from another node.
///
/// During an outage the store may lose entries of live targets, which register again after it has recovered. A removal read from
/// the store after an outage is therefore held back until the target had time to register again. Only the node that reads the
/// store decides this, by `store_outage`. A removal received from another node is applied at once, because an outage between this node and the store
/// does not mean that the reader has one.
///
/// A store that comes back from an older copy holds an earlier state until the targets have written again. For a while, its
/// listings therefore neither remove entries nor bring back what is known to have changed; changes made after the return count at once.
class registration_view {
public:
    /// Adds or updates an entry. Returns the change when it affects routing. An entry older than the known one is ignored.
    auto put(const target_registration&) -> std::optional<view_change>;
    /// Removes an entry at a revision. Returns the change unless the removal is held back or out of date.
    auto remove(std::string_view id, uint64_t revision, view_source, time_point now) -> std::optional<view_change>;
    /// Replaces the entries in `buckets` with a complete listing of them: entries that are not listed are removed, except those newer
    /// than `revision`.
    auto replace(std::span<const target_registration>, uint64_t revision, view_source, time_point now,
        const bucket_digests::bucket_set& buckets = bucket_digests::bucket_set().set()) -> std::vector<view_change>;
    /// Records that an outage of the store has ended. Removals are held back for a while from `now` on.
    auto recordStoreOutage(time_point now) -> void;
    /// Whether the store is to be listed again since what an older copy said was ignored. True once, when that time has ended.
    auto takeListingDue(time_point now) -> bool;
    /// Applies and returns the removals whose hold has ended.
    auto takeDueRemovals(time_point now) -> std::vector<view_change>;

    /// Equal for two views that route alike, whatever the order of their changes.
    auto digest() const -> uint64_t { return m_digest; }
    /// Digests of the entries by bucket, to find where two views differ.
    auto digests() const -> bucket_digests;
    /// The newest revision seen.
    auto revision() const -> uint64_t { return m_revision; }
    auto entries() const -> const std::map<std::string, target_registration, std::less<>>& { return m_entries; }

private:
    struct tombstone {
        uint64_t revision { 0 };
        uint64_t incarnation { 0 };
    };

    auto removeOrHold(std::string_view id, uint64_t revision, time_point holdUntil, time_point now) -> std::optional<view_change>;
    /// Notices a listing of the store in a new era.
    auto recordEra(uint64_t revision, time_point now) -> void;
    /// Whether an entry of a listing in a new era is the state before the known entry or removal.
    auto isOutdated(const target_registration&) const -> bool;

    std::map<std::string, target_registration, std::less<>> m_entries;
    /// Removals by target id. They keep an older entry from another node from restoring a removed target.
    std::map<std::string, tombstone, std::less<>> m_tombstones;
    /// Removals that are held back, by target id, with the end of the hold.
    std::map<std::string, time_point, std::less<>> m_pendingRemovals;
    time_point m_holdRemovalsUntil {};
    /// The era of the newest listing of the store, or of the first listing of any source.
    uint16_t m_era { 0 };
    /// Entries that a listing lacks are kept until then.
    time_point m_keepMissingUntil {};
    /// Outdated entries of a listing are ignored until then.
    time_point m_ignoreOutdatedUntil {};
    bool m_isListingPending { false };
    uint64_t m_revision { 0 };
    /// Sum of the entries' hashes, updated with each change because digests are compared several times a second.
    uint64_t m_digest { 0 };
};

} // namespace gypsumhub
