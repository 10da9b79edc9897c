#pragma once

#include "gypsumhub/core/asio_types.h"
#include "gypsumhub/decision/selection/confirmation_inquiry.h"
#include "gypsumhub/gateway/gateway_context.h"

#include <functional>
#include <span>

namespace gypsumhub {

/// Keeps the confirmation of the configuration recent by asking other nodes, and answers theirs. Sends nothing unless
/// `gateway_context::needsConfirmation`.
class confirmation_watcher {
public:
    struct actions {
        std::function<void(const node_datagram&, std::span<const node_registration>)> send;
        /// Reads the configuration from the store, which confirms it.
        std::function<void()> readStore;
        /// Whether this node watches the configuration in the store.
        std::function<bool()> isWatching;
    };

    confirmation_watcher(gateway_context&, actions);

    auto start() -> void;
    /// Whether the datagram is about confirmations.
    static auto handles(const node_datagram&) -> bool;
    auto handleDatagram(const node_datagram&) -> void;
    /// Asks soon, since a request waits for a confirmation. Returns whether one is likely to arrive.
    auto hasten() -> bool;

private:
    auto run() -> task<>;
    auto takeStep() -> void;
    auto handleRequest(const configuration_age_request&, std::string_view asker) -> void;
    auto handleAnswer(const configuration_age&) -> void;
    auto sendTo(std::string_view node, const node_datagram&) -> void;
    /// Logs when requests with keys begin to be refused or are served again.
    auto logChange(time_point now) -> void;

    gateway_context& m_context;
    actions m_actions;
    confirmation_inquiry m_inquiry;
    /// Cancelled when the next step is due earlier.
    steady_timer m_timer;
    /// Whether the confirmation was too old when it was last looked at. A node starts without one.
    bool m_isExpired { true };
};

} // namespace gypsumhub
