#pragma once

#include "gypsumhub/decision/selection/transfer_limit.h"
#include "gypsumhub/gateway/address_opener.h"
#include "gypsumhub/gateway/allowance_watcher.h"
#include "gypsumhub/gateway/confirmation_watcher.h"
#include "gypsumhub/gateway/crash_watcher.h"
#include "gypsumhub/gateway/gateway_context.h"
#include "gypsumhub/gateway/http_responder.h"
#include "gypsumhub/gateway/leaving_watcher.h"
#include "gypsumhub/gateway/limit_watcher.h"
#include "gypsumhub/gateway/path_prober.h"
#include "gypsumhub/gateway/peer_channel.h"
#include "gypsumhub/gateway/start_report.h"
#include "gypsumhub/gateway/store_watcher.h"
#include "gypsumhub/platform/kv_client.h"

#include <boost/asio/signal_set.hpp>
#include <optional>
#include <vector>

namespace gypsumhub {

/// One node of a gateway. Proxies requests of callers to targets, answers directory queries, and synchronizes its state with the
/// store and the other nodes.
class gateway_node {
public:
    /// `settingsFile` is read again on SIGHUP.
    gateway_node(gateway_settings, std::string settingsFile);

    /// Serves until the shutdown that SIGTERM or SIGINT begins is complete.
    auto run() -> leaf::result<void>;
    /// Begins the shutdown, as SIGTERM does. May be called from any thread.
    auto requestStop() -> void;
    /// Called on the node's thread at the begin of a shutdown, and whenever its end is brought forward, with the time at which the process has
    /// to be ended by force.
    auto setStopHandler(std::function<void(time_point)> handler) -> void { m_onStopScheduled = std::move(handler); }

private:
    auto start() -> task<>;
    auto addressSteps() -> std::vector<address_step>;
    auto acceptCallers() -> task<>;
    auto tick() -> task<>;
    auto processTick(time_point now) -> void;
    auto waitForSignal() -> void;
    auto beginShutdown() -> void;
    /// Ends the process by the schedule.
    auto finishShutdown() -> task<>;
    /// Uses a stop limit that was read from the settings file. During a shutdown it can only bring the end forward.
    auto applyStopLimit(duration) -> void;
    /// Bounds the waits and exchanges that began before the schedule, or the last change of it, as those that begin after it.
    auto limitOpenRequests() -> void;
    auto reload() -> void;
    auto checkStalls(time_point now) -> void;
    auto sendHello() -> void;
    auto handleDatagram(std::optional<node_datagram>, std::string_view address) -> void;
    auto applyDatagram(std::optional<node_datagram>, std::string_view address) -> void;
    auto isReady() const -> bool;
    auto answerReadiness(std::string_view target) -> http_answer;
    auto answerDirectory(std::string_view target) -> http_answer;
    auto peersInRegion() const -> std::vector<node_registration>;
    auto answerPeerListing(std::string_view target) -> http_answer;

    std::string m_settingsFile;
    gateway_context m_context;
    start_report m_startReport;
    kv_client m_store;
    store_watcher m_watcher;
    peer_channel m_peers;
    crash_watcher m_crashes;
    limit_watcher m_limits;
    allowance_watcher m_allowances;
    leaving_watcher m_leaving;
    confirmation_watcher m_confirmations;
    path_prober m_paths;
    http_responder m_readiness;
    http_responder m_directory;
    http_responder m_metrics;
    http_responder m_peerLists;
    transfer_limit m_transferLimit;
    tcp_acceptor m_callers;
    asio::signal_set m_signals;
    steady_timer m_stopTimer;
    time_point m_nextTick { never };
    /// When the latest tick was due, and when it ran.
    time_point m_tickDueAt { never };
    time_point m_tickRanAt {};
    /// The earliest time at which the signal to stop may have been sent.
    time_point m_stopSignalledAt { never };
    std::function<void(time_point)> m_onStopScheduled;
    /// Why the start failed.
    std::optional<fault> m_startFault;
    time_point m_nextHello {};
    time_point m_nextSweep {};
};

/// Formats the metrics page in the Prometheus text format.
auto formatGatewayMetrics(gateway_context&, uint64_t storeCalls) -> std::string;

} // namespace gypsumhub
