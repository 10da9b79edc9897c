#include "unit_tests/gateway/first_answer_targets.h"
#include "unit_tests/gateway/raw_caller.h"

using namespace gypsumhub;

namespace {

constexpr auto maxBodyBytes = 67'108'864;
// More than the buffers of a connection hold, so that the node is still writing the request when the answer arrives.
constexpr auto uploadBytes = size_t { 12'000'000 };
// Before the connection is full, about then, and after the node has waited for a while.
constexpr auto pausesMs = std::to_array<int>({ 0, 5, 60, 250 });

constexpr auto resetPath = std::string_view { "/reset/" };
constexpr auto lengthPath = std::string_view { "/length/" };
constexpr auto endPath = std::string_view { "/end/" };

/// Answers an upload at its head and resets the connection. The path tells whether the answer has a length, or ends with the target's side
/// of the connection before the reset, or neither.
auto answerAndReset(tcp::socket& socket, const std::string& head, const std::string& id) -> bool
{
    auto hasPath = [&](std::string_view path) { return head.substr(0, head.find('\r')).find(path) != std::string::npos; };
    if (!hasPath(resetPath) && !hasPath(lengthPath) && !hasPath(endPath)) {
        scripted_target::send(socket, scripted_target::answer("200 X", id));
        return true;
    }
    auto pause = std::chrono::milliseconds(std::stol(scripted_target::fieldOf(head, fake_gateway_target::delayField)));
    auto length = std::string(hasPath(lengthPath) ? "Content-Length: 4\r\n" : "");
    auto ignored = error_code {};
    std::this_thread::sleep_for(pause);
    scripted_target::send(socket, "HTTP/1.1 200 X\r\nRequest-Id: " + id + "\r\nUpstream-Signature: s\r\n" + length + "\r\npart");
    if (hasPath(endPath))
        socket.shutdown(tcp::socket::shutdown_send, ignored);
    std::this_thread::sleep_for(pause);
    socket.set_option(asio::socket_base::linger(true, 0), ignored);
    socket.close(ignored);
    return false;
}

auto upload(const std::string& path, const std::string& id, int pauseMs) -> raw_answer
{
    auto caller = raw_caller(gateway_fixture::callerAddress(0));
    caller.send(raw_request { .id = id, .method = "POST", .path = path + id, .delayMs = pauseMs, .body = std::string(uploadBytes, 'u') }.text());
    return caller.read();
}

} // namespace

// Guards against an answer that a reset has cut and that counts as complete, since the write of the request has taken the error.
TEST_CASE("MIXED: an answer without a length that is reset during the upload does not reach the caller as complete, and is not run again")
{
    auto fleet = gateway_fixture {};
    auto targets = first_answer_targets(fleet, maxBodyBytes, answerAndReset);
    for (auto pause : pausesMs) {
        auto id = "once-" + std::to_string(pause);
        CAPTURE(id);
        CHECK(upload("/unsafe" + std::string(resetPath), id, pause).status == 502);
        CHECK(targets.arrivals(id) == 1);
    }
}

TEST_CASE("MIXED: a retryable upload whose answer without a length is reset gets the whole answer of another attempt, or none")
{
    auto fleet = gateway_fixture {};
    auto targets = first_answer_targets(fleet, maxBodyBytes, answerAndReset);
    auto count = 0;
    // The retry budget of a node grows during its first seconds.
    auto isRetried = [&] {
        auto id = "again-" + std::to_string(++count);
        auto answer = upload("/safe" + std::string(resetPath), id, 20);
        REQUIRE((answer.status == 502 || answer.body == "ok"));
        return answer.status == 200 && targets.arrivals(id) == 2;
    };
    CHECK(eventually(isRetried));
}

// Guards against the loss of answers that are complete before the reset.
TEST_CASE("an answer with a length, or whose connection the target has ended, reaches the caller whole when a reset follows during the upload")
{
    auto fleet = gateway_fixture {};
    auto targets = first_answer_targets(fleet, maxBodyBytes, answerAndReset);
    for (auto path : { lengthPath, endPath }) {
        auto name = std::string(path.substr(1, path.size() - 2));
        for (auto pause : pausesMs) {
            auto id = name + "-" + std::to_string(pause);
            CAPTURE(id);
            auto answer = upload("/unsafe" + std::string(path), id, pause);
            CHECK(answer.status == 200);
            CHECK(answer.body == "part");
        }
    }
}
