#include "unit_tests/main/started_program.h"

#include <doctest/doctest.h>

using namespace gypsumhub;

namespace {

constexpr auto writingTime = std::chrono::milliseconds(300);

// Starts the program on a file that is completed while it starts, and returns its output once it serves or has ended.
auto startWhileWriting(start_folder& folder) -> std::string
{
    auto program = started_program(folder.settingsFile(), folder.outputFile());
    std::this_thread::sleep_for(writingTime);
    folder.write(start_folder::settings());
    CHECK(started_program::eventually([&] { return program.hasLogged("started") || program.status(); }));
    CHECK_FALSE(program.status());
    return program.output();
}

} // namespace

TEST_CASE("a node that starts while its settings file is written does not end: the file is cut in half")
{
    auto folder = start_folder {};
    auto text = start_folder::settings();
    folder.write(text.substr(0, text.size() / 2));
    CHECK(startWhileWriting(folder).find("\"started\"") != std::string::npos);
}

TEST_CASE("a node that starts while its settings file is written does not end: the file is empty")
{
    auto folder = start_folder {};
    folder.write("");
    CHECK(startWhileWriting(folder).find("\"started\"") != std::string::npos);
}

TEST_CASE("a node that starts while its settings file is replaced does not end: the file is missing")
{
    auto folder = start_folder {};
    CHECK(startWhileWriting(folder).find("\"started\"") != std::string::npos);
}

TEST_CASE("a SIGHUP while the settings file is written does not end the node")
{
    auto folder = start_folder {};
    auto program = started_program(folder.settingsFile(), folder.outputFile());
    std::this_thread::sleep_for(writingTime);
    program.signal(SIGHUP);
    folder.write(start_folder::settings());
    CHECK(started_program::eventually([&] { return program.hasLogged("reloaded") || program.status(); }));
    CHECK_FALSE(program.status());
}

TEST_CASE("SIGTERM ends a node that waits for its settings file at once")
{
    auto folder = start_folder {};
    auto program = started_program(folder.settingsFile(), folder.outputFile());
    std::this_thread::sleep_for(writingTime);
    REQUIRE_FALSE(program.status());
    program.signal(SIGTERM);
    CHECK(started_program::eventually([&] { return program.status().has_value(); }, std::chrono::milliseconds(1000)));
}

TEST_CASE("a settings file with a fault is still reported, with exit status 2")
{
    auto folder = start_folder {};
    folder.write("[gateway]\n");
    auto program = started_program(folder.settingsFile(), folder.outputFile());
    REQUIRE(started_program::eventually([&] { return program.status().has_value(); }));
    REQUIRE(WIFEXITED(*program.status()));
    CHECK(WEXITSTATUS(*program.status()) == 2);
    CHECK(program.output().find("section [store] is missing") != std::string::npos);
}
