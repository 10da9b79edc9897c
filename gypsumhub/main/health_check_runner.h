#pragma once

#include "gypsumhub/decision/attempt_report.h"
#include "gypsumhub/decision/command.h"

#include <boost/asio/io_context.hpp>
#include <functional>

namespace gypsumhub {

/// Sends health probes: `GET /health` on a new connection, with the probe's deadline. Runs on the control thread's context.
class health_check_runner {
public:
    /// `report` hears how each probe ended, on the context's thread.
    health_check_runner(boost::asio::io_context&, std::function<void(const attempt_report&)> report);

    /// Starts one probe.
    auto start(const start_probe_command&) -> void;

private:
    boost::asio::io_context& m_context;
    std::function<void(const attempt_report&)> m_report;
};

} // namespace gypsumhub
