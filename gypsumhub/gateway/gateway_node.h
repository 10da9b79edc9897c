#pragma once

#include "gypsumhub/gateway/gateway_context.h"
#include "gypsumhub/gateway/http_responder.h"
#include "gypsumhub/gateway/peer_channel.h"
#include "gypsumhub/gateway/store_follower.h"
#include "gypsumhub/platform/kv_client.h"

#include <boost/asio/signal_set.hpp>

namespace gypsumhub {

/// One node of a gateway: takes callers' requests, answers where to connect, and keeps up with the store and the other nodes.
class gateway_node {
public:
    /// `settingsFile` is read again when it changes.
    gateway_node(gateway_settings, std::string settingsFile);

    /// Serves until SIGTERM and the planned stop that follows it.
    auto run() -> leaf::result<void>;
    /// Begins the planned stop, as SIGTERM does. Any thread may call.
    auto requestStop() -> void;

private:
    auto acceptCallers() -> task<>;
    auto tick() -> task<>;
    auto waitForSignal() -> void;
    auto beginShutdown() -> void;
    auto reload() -> void;
    auto checkStalls(time_point now) -> void;
    auto sendHello() -> void;
    auto handleDatagram(std::optional<node_datagram>, std::string_view address) -> void;
    auto isReady() const -> bool;
    auto answerReadiness(std::string_view target) -> short_answer;
    auto answerDirectory(std::string_view target) -> short_answer;
    auto peersInRegion() const -> std::vector<node_registration>;
    auto answerPeerListing(std::string_view target) -> short_answer;

    std::string m_settingsFile;
    gateway_context m_context;
    kv_client m_store;
    store_follower m_follower;
    peer_channel m_peers;
    http_responder m_readiness;
    http_responder m_directory;
    http_responder m_metrics;
    http_responder m_peerLists;
    tcp_acceptor m_callers;
    asio::signal_set m_signals;
    time_point m_nextHello {};
    time_point m_nextSweep {};
};

/// The metrics page.
auto formatGatewayMetrics(const gateway_context&, uint64_t storeCalls) -> std::string;

} // namespace gypsumhub
