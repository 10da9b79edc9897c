#pragma once

#include "gypsumhub/gateway/gateway_context.h"

#include <string_view>

namespace gypsumhub {

/// Logs when a node that starts becomes ready and what it waited for last, and every few seconds what it still waits for.
class start_report {
public:
    explicit start_report(gateway_context&);

    /// Records that all addresses are open.
    auto recordAddresses(time_point now) -> void;
    /// Looks what has arrived since the last call. Called after each step of the start and at times in between.
    auto update(time_point now) -> void;

private:
    /// Something that the node needs before it is ready.
    struct need {
        time_point arrivedAt { never };
        /// "store" or "node", empty before it has arrived.
        std::string_view source {};
    };

    auto sourceOf(std::string_view storeCall) const -> std::string_view;
    auto lastNeed() const -> std::string_view;
    auto write(std::string_view event, time_point now) -> void;

    gateway_context& m_context;
    need m_addresses;
    need m_configuration;
    need m_registrations;
    time_point m_nextReport;
    bool m_isReady { false };
};

} // namespace gypsumhub
