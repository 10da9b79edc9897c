#include "unit_tests/main/started_program.h"

#include <arpa/inet.h>
#include <doctest/doctest.h>
#include <netinet/in.h>
#include <sys/socket.h>

using namespace gypsumhub;

namespace {

constexpr auto holdTime = std::chrono::milliseconds(1'500);
constexpr auto callerPort = 1;
constexpr auto readinessPort = 2;
constexpr auto peerPort = 4;

auto addressOf(const char* address, int port) -> sockaddr_in
{
    auto result = sockaddr_in {};
    result.sin_family = AF_INET;
    result.sin_port = htons(static_cast<uint16_t>(port));
    ::inet_pton(AF_INET, address, &result.sin_addr);
    return result;
}

/// A socket of another process that holds an address of the node.
class held_address {
public:
    held_address(int type, int purpose)
        : m_socket(::socket(AF_INET, type | SOCK_CLOEXEC, 0))
    {
        auto address = addressOf("127.0.11.1", start_folder::portOf(purpose));
        REQUIRE(::bind(m_socket, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0);
    }
    ~held_address() { release(); }
    held_address(const held_address&) = delete;
    auto operator=(const held_address&) -> held_address& = delete;

    auto listen() -> void { REQUIRE(::listen(m_socket, 1) == 0); }
    auto release() -> void
    {
        if (m_socket >= 0)
            ::close(m_socket);
        m_socket = -1;
    }

private:
    int m_socket;
};

// Whether a connection to an address of the node is accepted.
auto isOpen(int purpose) -> bool
{
    auto connecting = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto address = addressOf("127.0.11.1", start_folder::portOf(purpose));
    auto isConnected = ::connect(connecting, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0;
    ::close(connecting);
    return isConnected;
}

auto countOf(const std::string& text, const std::string& part) -> int
{
    auto count = 0;
    for (auto position = text.find(part); position != std::string::npos; position = text.find(part, position + 1))
        ++count;
    return count;
}

/// A node that is started while one of its addresses is held.
struct waiting_node {
    auto waitsForAddress() -> bool
    {
        return started_program::eventually([&] { return program.hasLogged("address_in_use") || program.status(); }) && !program.status();
    }
    auto serves() -> bool
    {
        return started_program::eventually([&] { return program.hasLogged("started") || program.status(); }) && !program.status() && isOpen(callerPort) && isOpen(readinessPort);
    }

    start_folder folder { start_folder::settings() };
    started_program program { folder.settingsFile(), folder.outputFile() };
};

auto checkWaitsFor(held_address& held, int purpose) -> void
{
    auto node = waiting_node {};
    REQUIRE(node.waitsForAddress());
    auto isServing = started_program::eventually([&] { return isOpen(purpose == readinessPort ? callerPort : readinessPort); }, holdTime);
    CHECK_FALSE(isServing);
    held.release();
    CHECK(node.serves());
    auto output = node.program.output();
    CHECK(countOf(output, "address_in_use") == 1);
    CHECK(output.find("\"address\":\"127.0.11.1:" + std::to_string(start_folder::portOf(purpose)) + "\"") != std::string::npos);
    CHECK(output.find("Address already in use") != std::string::npos);
}

} // namespace

TEST_CASE("a node does not end at its start while the process before it still listens")
{
    auto held = held_address(SOCK_STREAM, callerPort);
    held.listen();
    checkWaitsFor(held, callerPort);
}

TEST_CASE("a node does not end at its start while an outgoing connection has the port of its readiness")
{
    auto held = held_address(SOCK_STREAM, readinessPort);
    checkWaitsFor(held, readinessPort);
}

TEST_CASE("a node does not end at its start while another socket receives datagrams at its address")
{
    auto held = held_address(SOCK_DGRAM, peerPort);
    checkWaitsFor(held, peerPort);
}

TEST_CASE("SIGTERM ends a node in order that waits for an address")
{
    auto held = held_address(SOCK_STREAM, callerPort);
    held.listen();
    auto node = waiting_node {};
    REQUIRE(node.waitsForAddress());
    node.program.signal(SIGTERM);
    REQUIRE(started_program::eventually([&] { return node.program.status().has_value(); }, std::chrono::milliseconds(1000)));
    CHECK(*node.program.status() == 0);
    CHECK(node.program.hasLogged("stopped"));
}

TEST_CASE("SIGHUP does not end a node that waits for an address")
{
    auto held = held_address(SOCK_STREAM, callerPort);
    held.listen();
    auto node = waiting_node {};
    REQUIRE(node.waitsForAddress());
    node.program.signal(SIGHUP);
    held.release();
    CHECK(node.serves());
    CHECK(started_program::eventually([&] { return node.program.hasLogged("reloaded") || node.program.status(); }));
}

TEST_CASE("a node with an address of another machine still ends at once with a fault")
{
    auto folder = start_folder {};
    auto text = start_folder::settings();
    auto own = std::string("readiness_address = 127.0.11.1");
    folder.write(text.replace(text.find(own), own.size(), "readiness_address = 192.0.2.1"));
    auto program = started_program(folder.settingsFile(), folder.outputFile());
    REQUIRE(started_program::eventually([&] { return program.status().has_value(); }, std::chrono::seconds(10)));
    REQUIRE(WIFEXITED(*program.status()));
    CHECK(WEXITSTATUS(*program.status()) == 2);
    CHECK(program.output().find("192.0.2.1:" + std::to_string(start_folder::portOf(readinessPort)) + ": Cannot assign requested address") != std::string::npos);
}
