#include "soak/node_process.h"

#include <csignal>
#include <cstdio>
#include <cstring>
#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

namespace gypsumhub {

node_process::node_process(std::string program, std::string settingsFile, std::string logFile)
    : m_program(std::move(program))
    , m_settingsFile(std::move(settingsFile))
    , m_logFile(std::move(logFile))
{
}

node_process::~node_process()
{
    if (m_id <= 0)
        return;
    signal(SIGKILL);
    ::waitpid(m_id, nullptr, 0);
}

auto node_process::start() -> bool
{
    auto files = posix_spawn_file_actions_t {};
    ::posix_spawn_file_actions_init(&files);
    ::posix_spawn_file_actions_addopen(&files, STDOUT_FILENO, m_logFile.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    auto command = std::string("gateway");
    char* arguments[] = { m_program.data(), command.data(), m_settingsFile.data(), nullptr };
    auto error = ::posix_spawn(&m_id, m_program.c_str(), &files, nullptr, arguments, environ);
    ::posix_spawn_file_actions_destroy(&files);
    if (error != 0) {
        m_id = 0;
        std::fprintf(stderr, "cannot start \"%s\": %s\n", m_program.c_str(), std::strerror(error));
    }
    return error == 0;
}

auto node_process::signal(int number) -> void
{
    if (m_id > 0)
        ::kill(m_id, number);
}

auto node_process::pollExitStatus() -> std::optional<int>
{
    auto status = 0;
    if (m_id <= 0 || ::waitpid(m_id, &status, WNOHANG) != m_id)
        return std::nullopt;
    m_id = 0;
    return status;
}

} // namespace gypsumhub
