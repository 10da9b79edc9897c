#include "unit_tests/main/started_program.h"

#include <doctest/doctest.h>

using namespace gypsumhub;

TEST_CASE("a process that is stopped by SIGSTOP when SIGTERM comes ends before its stop limit, counted from SIGTERM")
{
    constexpr auto stopLimit = std::chrono::milliseconds(3'000);
    auto text = start_folder::settings();
    auto limit = std::string("stop_limit = 1s");
    auto folder = start_folder(text.replace(text.find(limit), limit.size(), "stop_limit = 3s"));
    auto program = started_program(folder.settingsFile(), folder.outputFile());
    REQUIRE(started_program::eventually([&] { return program.hasLogged("started") || program.status(); }));
    program.signal(SIGSTOP);
    std::this_thread::sleep_for(std::chrono::milliseconds(400));
    program.signal(SIGTERM);
    auto signalledAt = std::chrono::steady_clock::now();
    std::this_thread::sleep_for(std::chrono::milliseconds(1'200));
    program.signal(SIGCONT);
    REQUIRE(started_program::eventually([&] { return program.status().has_value(); }));
    CHECK(std::chrono::steady_clock::now() - signalledAt < stopLimit);
}
