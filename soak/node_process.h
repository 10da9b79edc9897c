#pragma once

#include "gypsumhub/core/time_point.h"

#include <optional>
#include <string>
#include <sys/types.h>

namespace gypsumhub {

/// A gateway node that runs as a separate process and appends its log lines to a file.
class node_process {
public:
    node_process(std::string program, std::string settingsFile, std::string logFile);
    /// Kills the process and waits for its exit if it still runs.
    ~node_process();
    node_process(const node_process&) = delete;
    auto operator=(const node_process&) -> node_process& = delete;

    /// Returns false, and prints the error to standard error, when the program cannot be started.
    auto start() -> bool;
    /// Sends a signal to the process; does nothing when it does not run.
    auto signal(int number) -> void;
    auto isRunning() const -> bool { return m_id > 0; }
    /// Returns the wait status once after the process has exited, otherwise nullopt. Does not block.
    auto pollExitStatus() -> std::optional<int>;

private:
    std::string m_program;
    std::string m_settingsFile;
    std::string m_logFile;
    pid_t m_id { 0 };
};

} // namespace gypsumhub
