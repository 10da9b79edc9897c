#pragma once

#include <array>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdint>
#include <cstdio>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <optional>
#include <spawn.h>
#include <sstream>
#include <stdexcept>
#include <string>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace gypsumhub {

/// The program of this build, started as the platform starts it. Its output goes to a file.
class started_program {
public:
    explicit started_program(const std::string& settingsFile, std::string outputFile)
        : m_outputFile(std::move(outputFile))
    {
        auto files = posix_spawn_file_actions_t {};
        ::posix_spawn_file_actions_init(&files);
        ::posix_spawn_file_actions_addopen(&files, STDOUT_FILENO, m_outputFile.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0644);
        ::posix_spawn_file_actions_adddup2(&files, STDOUT_FILENO, STDERR_FILENO);
        auto program = std::string(GYPSUMHUB_PROGRAM);
        auto command = std::string("gateway");
        auto file = settingsFile;
        char* arguments[] = { program.data(), command.data(), file.data(), nullptr };
        auto error = ::posix_spawn(&m_id, program.c_str(), &files, nullptr, arguments, environ);
        ::posix_spawn_file_actions_destroy(&files);
        if (error != 0)
            throw std::runtime_error("cannot start " + program);
    }

    ~started_program()
    {
        if (m_status)
            return;
        ::kill(m_id, SIGKILL);
        ::waitpid(m_id, nullptr, 0);
    }

    started_program(const started_program&) = delete;
    auto operator=(const started_program&) -> started_program& = delete;

    auto id() const -> pid_t { return m_id; }
    auto signal(int number) -> void { ::kill(m_id, number); }
    auto output() const -> std::string { return textOf(m_outputFile); }

    /// The wait status once the process has ended, nullopt before.
    auto status() -> std::optional<int>
    {
        auto status = 0;
        if (!m_status && ::waitpid(m_id, &status, WNOHANG) == m_id)
            m_status = status;
        return m_status;
    }

    /// Polls until `isTrue` holds or `limit` is over. Returns whether it held.
    template <typename Condition>
    static auto eventually(Condition isTrue, std::chrono::milliseconds limit = std::chrono::seconds(20)) -> bool
    {
        auto until = std::chrono::steady_clock::now() + limit;
        while (std::chrono::steady_clock::now() < until) {
            if (isTrue())
                return true;
            std::this_thread::sleep_for(std::chrono::milliseconds(2));
        }
        return isTrue();
    }

    /// Whether the program has logged an event.
    auto hasLogged(const std::string& event) const -> bool { return output().find("\"event\":\"" + event + "\"") != std::string::npos; }

    static auto textOf(const std::string& path) -> std::string
    {
        auto file = std::ifstream(path);
        auto text = std::stringstream {};
        text << file.rdbuf();
        return text.str();
    }

private:
    std::string m_outputFile;
    pid_t m_id { 0 };
    std::optional<int> m_status;
};

/// A folder with the settings file of one gateway node, removed at the end. No store answers at the address in it.
class start_folder {
public:
    start_folder()
    {
        auto pattern = (std::filesystem::temp_directory_path() / "gypsumhub_start.XXXXXX").string();
        m_folder = ::mkdtemp(pattern.data());
    }
    explicit start_folder(const std::string& settings)
        : start_folder()
    {
        write(settings);
    }
    ~start_folder() { std::filesystem::remove_all(m_folder); }
    start_folder(const start_folder&) = delete;
    auto operator=(const start_folder&) -> start_folder& = delete;

    auto settingsFile() const -> std::string { return m_folder + "/node.ini"; }
    auto outputFile() const -> std::string { return m_folder + "/node.log"; }

    /// Ports differ by process, since tests of several builds may run at the same time.
    static auto portOf(int purpose) -> int { return 20'000 + ::getpid() % 2'000 * 6 + purpose; }

    static auto settings() -> std::string
    {
        auto address = [](int purpose) { return "127.0.11.1:" + std::to_string(portOf(purpose)) + "\n"; };
        return "[gateway]\nname = n1\ndata_centre = a1\nregion = a\ndata_centres = a1:a\ncaller_address = " + address(1) + "readiness_address = " + address(2)
            + "directory_address = " + address(3) + "peer_address = " + address(4) + "stop_limit = 1s\n[store]\naddress = " + address(5);
    }

    auto write(const std::string& text) const -> void { std::ofstream(settingsFile()) << text; }

private:
    std::string m_folder;
};

} // namespace gypsumhub
