#pragma once

#include "gypsumhub/decision/attempt_report.h"
#include "gypsumhub/decision/command.h"

#include <boost/asio/io_context.hpp>
#include <functional>

namespace gypsumhub {

/// Runs health checks: sends `GET /health` on a new connection and waits for the answer until the command's deadline. Runs on
/// the control thread's event loop.
class health_check_runner {
public:
    /// `report` receives the result of each health check, on the event loop's thread.
    health_check_runner(boost::asio::io_context&, std::function<void(const attempt_report&)> report);

    /// Starts one health check.
    auto start(const start_health_check_command&) -> void;

private:
    boost::asio::io_context& m_context;
    std::function<void(const attempt_report&)> m_report;
};

} // namespace gypsumhub
