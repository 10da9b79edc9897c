#pragma once

#include "gypsumhub/core/time_point.h"

#include <optional>
#include <string>
#include <sys/types.h>

namespace gypsumhub {

/// A node as a process of its own, whose lines are appended to a file.
class node_process {
public:
    node_process(std::string program, std::string settingsFile, std::string logFile);
    /// Kills the process if it still runs.
    ~node_process();
    node_process(const node_process&) = delete;
    auto operator=(const node_process&) -> node_process& = delete;

    /// Returns false, and says why on standard error, when the program cannot be started.
    auto start() -> bool;
    auto signal(int number) -> void;
    auto isRunning() const -> bool { return m_id > 0; }
    /// The wait status of the process, once, after it has ended.
    auto takeExit() -> std::optional<int>;

private:
    std::string m_program;
    std::string m_settingsFile;
    std::string m_logFile;
    pid_t m_id { 0 };
};

} // namespace gypsumhub
