#pragma once

#include "gypsumhub/gateway/gateway_context.h"
#include "gypsumhub/store/keyspace.h"

#include <optional>
#include <string>
#include <string_view>

namespace gypsumhub {

/// How a node's followers reach the store, and the nodes that know what it holds.
class store_access {
public:
    store_access(gateway_context&, keyspace&);

    auto context() -> gateway_context& { return m_context; }
    auto context() const -> const gateway_context& { return m_context; }
    auto store() -> keyspace& { return m_store; }

    /// Takes in how a call ended; logs when the store is lost or regained. Returns whether it succeeded.
    auto recordCall(std::string_view call, keyspace_status) -> bool;
    /// Waits for about this long, spread so that nodes that failed together do not come back together.
    auto pause(duration) -> task<>;
    /// Waits after a failed call, the longer the store has been lost: refused calls cost it as much as others.
    auto backOff() -> task<>;
    /// The registrations of nodes are known for the first time.
    auto markNodesKnown() -> void { m_hasNodes = true; }
    /// At the start: lists a prefix at a node of the data centre that knows it; nothing when the store must be asked.
    auto listAtStart(std::string prefix) -> task<std::optional<key_listing>>;
    /// Lists a prefix at another node; nothing when that node does not answer.
    auto listAtPeer(std::string node, std::string prefix) -> task<std::optional<key_listing>>;
    /// Lists a prefix at another node, or at the store when that node does not answer.
    auto listAt(std::string node, std::string prefix) -> task<keyspace_result<key_listing>>;

private:
    auto callPeer(std::string node, std::string prefix, time_point deadline) -> task<keyspace_result<key_listing>>;

    gateway_context& m_context;
    keyspace& m_store;
    bool m_isLost { false };
    time_point m_lostSince {};
    bool m_hasNodes { false };
};

/// The messages of all faults, for a log line.
auto joinMessages(const fault_list&) -> std::string;

/// Longest time for a call to the store that it answers at once.
constexpr auto storeCallTimeout = milliseconds(1500);
/// A waiting watch costs a call whenever it ends; the store allows 30 s.
constexpr auto maxWatchTime = seconds(29);
/// While another node reads for this one.
constexpr auto readerCheckInterval = milliseconds(200);

} // namespace gypsumhub
