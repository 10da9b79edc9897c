#pragma once

#include "gypsumhub/decision/selection/store_outage.h"
#include "gypsumhub/gateway/gateway_context.h"
#include "gypsumhub/store/keyspace.h"

#include <optional>
#include <string>
#include <string_view>

namespace gypsumhub {

/// Access of the watchers to the store, and to other nodes that hold copies of its content.
class store_access {
public:
    store_access(gateway_context&, keyspace&);

    auto context() -> gateway_context& { return m_context; }
    auto context() const -> const gateway_context& { return m_context; }
    auto store() -> keyspace& { return m_store; }

    /// Records the status of a call to the store, and logs when the connection to the store is lost or regained. Returns whether the
    /// call succeeded.
    auto recordCall(std::string_view call, keyspace_status) -> bool;
    /// Records that another node's copy matched the store at `servedAt`.
    auto recordServed(time_point servedAt) -> void { m_outage.recordServed(servedAt); }
    /// Whether the last call to the store failed.
    auto isStoreLost() const -> bool { return m_isStoreLost; }
    /// About the given time, so that nodes that failed together do not retry together.
    auto jittered(duration) const -> duration;
    /// Waits for about the given time.
    auto pause(duration) -> task<>;
    /// Waits after a failed call, longer the longer the outage lasts: refused calls cost the store as much as others.
    auto backOff() -> task<>;
    /// Records that the node registrations have been listed, so that `listAtStartup` can choose a peer.
    auto markNodesListed() -> void { m_hasNodeListing = true; }
    /// At startup, lists a prefix from a node of the data centre that already holds it. Returns nullopt when the store must be read.
    auto listAtStartup(std::string prefix) -> task<std::optional<key_listing>>;
    /// Calls another node once. `Refused` means that the node is sending to too many others.
    auto callPeer(std::string node, std::string prefix, bucket_digests known, time_point deadline) -> task<keyspace_result<key_listing>>;
    /// Lists from another node the buckets of a prefix that differ from `known`. `Refused` means that the node was sending to too many
    /// others all the while, so that the store is not to be asked either.
    auto listFromPeer(std::string node, std::string prefix, bucket_digests known) -> task<keyspace_result<key_listing>>;
    /// Lists as `listFromPeer`, or the whole prefix from the store when the node does not answer.
    auto listFrom(std::string node, std::string prefix, bucket_digests known) -> task<keyspace_result<key_listing>>;

private:
    gateway_context& m_context;
    keyspace& m_store;
    store_outage m_outage;
    bool m_isStoreLost { false };
    time_point m_storeLostSince {};
    bool m_hasNodeListing { false };
};

/// Joins the messages of all faults for a log line.
auto joinMessages(const fault_list&) -> std::string;

/// Pause before a listing is requested again from a node that was sending to too many others.
constexpr auto busyPeerDelay = milliseconds(50);
/// Timeout of calls that the store answers without waiting; watches have their own.
constexpr auto storeCallTimeout = milliseconds(1500);
/// How often a node checks whether it has become the reader while another node reads for it.
constexpr auto readerCheckInterval = milliseconds(200);

} // namespace gypsumhub
