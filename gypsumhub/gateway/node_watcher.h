#pragma once

#include "gypsumhub/decision/selection/persistent_mismatch.h"
#include "gypsumhub/decision/selection/restoration_hold.h"
#include "gypsumhub/gateway/store_access.h"

#include <map>
#include <optional>

namespace gypsumhub {

/// Keeps the registrations of all nodes up to date, and this node's own registration alive with a lease.
class node_watcher {
public:
    explicit node_watcher(store_access&);

    auto start() -> void;
    /// Ends the lease of this node's registration, which removes it.
    auto unregister() -> void;
    /// Handles a hello of the node from which this one receives changes. Lists the registrations again on a persistent mismatch.
    auto handleReaderHello(const node_hello&) -> void;
    /// The registrations in the buckets that differ from `known`.
    auto list(const bucket_digests& known) const -> key_listing;
    /// Equal for two nodes with the same registrations.
    auto digest() const -> uint64_t { return m_digest; }

    /// Key prefix of the node registrations in the store. A key continues with the data centre, a slash and the name of the node.
    static constexpr auto prefix = std::string_view { "gypsumhub/nodes/" };

private:
    /// Reads and watches the registrations in the store while this node is the reader.
    auto watch() -> task<>;
    auto pauseBetweenReads() const -> duration;
    /// Lists the registrations of the own data centre from the store, until there are some. The others come from the reader: when all
    /// nodes start together, whole listings would fill the link between regions.
    auto readOwnDataCentre() -> task<>;
    /// Lists the registrations from the store. Returns the revision of the listing, or 0 when the call fails.
    auto read() -> task<uint64_t>;
    auto ownDataCentrePrefix() const -> std::string;
    auto ownKey() const -> std::string;
    /// Lists the registrations from the node `from`, or from the store when that node does not answer.
    auto catchUp(std::string from) -> task<>;
    /// Writes this node's registration with a lease, and renews the lease until the shutdown.
    auto keepRegistration() -> task<>;
    auto endRegistration() -> task<>;
    /// Checks, after the store was restored, whether the lease still holds this node's registration: its number may have been given to
    /// another node. Also true when the store does not answer; the next renewal checks again.
    auto confirmLease() -> task<bool>;
    auto applyEntry(const store_entry&) -> void;
    auto bucketDigests() const -> bucket_digests;
    auto applyListing(const key_listing&) -> void;
    auto remove(const std::string& key) -> void;
    /// Notices, after a call to the store, that it came back from an older copy.
    auto recordEra() -> void;

    store_access& m_access;
    restoration_hold m_hold;
    uint64_t m_lease { 0 };
    /// The era of the store in which the lease is known to be this node's.
    uint16_t m_leaseEra { 0 };
    persistent_mismatch m_mismatch;
    bool m_isCatchingUp { false };
    bool m_hasRegistered { false };
    /// The entries as written in the store, by key.
    std::map<std::string, store_entry, std::less<>> m_entries;
    /// Sum of the entries' hashes.
    uint64_t m_digest { 0 };
};

} // namespace gypsumhub
