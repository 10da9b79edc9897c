#include "unit_tests/gateway/raw_caller.h"

using namespace gypsumhub;

namespace {

constexpr auto grace = std::chrono::milliseconds(6'000);

/// A request that is sent on a kept connection late in the grace of a stopping node.
struct late_request {
    std::string method;
    std::string path;
    int beforeEndMs;
    int workMs;
    int deadlineMs;
    bool isPipelined { false };
    bool isBodyUnfinished { false };
    std::string id {};
    std::unique_ptr<raw_caller> caller {};
    std::vector<raw_answer> answers {};
};

auto makeLateRequests() -> std::vector<late_request>
{
    auto requests = std::vector<late_request> {};
    for (auto beforeEndMs : { 100, 1'000, 3'000 }) {
        for (auto [method, path] : { std::pair("GET", "/safe/"), std::pair("POST", "/unsafe/") }) {
            // Targets that need less and more than what is left, for callers that wait for less and for more.
            for (auto workMs : { 20, 5'500 }) {
                for (auto deadlineMs : { 700, 5'000 })
                    requests.push_back({ method, path, beforeEndMs, workMs, deadlineMs });
            }
            requests.push_back({ method, path, beforeEndMs, 5'500, 700, true });
            requests.push_back({ method, path, beforeEndMs, 20, 5'000, false, true });
        }
    }
    return requests;
}

} // namespace

TEST_CASE("LOST: no request that arrives late in the grace on a kept connection is passed on and then cut without an answer")
{
    auto fleet = std::make_unique<gateway_fixture>(milliseconds(grace.count()), 16);
    auto requests = makeLateRequests();
    for (auto index = size_t { 0 }; index < requests.size(); ++index) {
        auto& late = requests[index];
        late.id = "late-" + std::to_string(index);
        late.caller = std::make_unique<raw_caller>(gateway_fixture::callerAddress(0));
        late.caller->send(raw_request { .id = late.id + "-first" }.text());
        REQUIRE(late.caller->read().status == 200);
    }
    fleet->nodes[0]->requestStop();
    auto stoppedAt = std::chrono::steady_clock::now();
    auto threads = std::vector<std::thread> {};
    for (auto& late : requests) {
        threads.emplace_back([&late, stoppedAt] {
            std::this_thread::sleep_until(stoppedAt + grace - std::chrono::milliseconds(late.beforeEndMs));
            auto made = raw_request { .id = late.id, .method = late.method, .path = late.path, .delayMs = late.workMs, .deadlineMs = late.deadlineMs };
            if (late.isBodyUnfinished)
                made.fields = "Content-Length: 8\r\n";
            auto text = made.text() + (late.isBodyUnfinished ? "half" : "");
            if (late.isPipelined) {
                made.id += "-behind";
                text += made.text();
            }
            late.caller->send(text);
            late.answers = late.caller->read(late.isPipelined ? 2 : 1);
        });
    }
    std::this_thread::sleep_until(stoppedAt + grace);
    auto runs = std::map<std::string, int> {};
    for (auto& late : requests) {
        runs[late.id] = fleet->executionsOf(late.id);
        runs[late.id + "-behind"] = fleet->executionsOf(late.id + "-behind");
    }
    // Closes the connections, as the end of the process does.
    fleet.reset();
    for (auto& thread : threads)
        thread.join();
    for (auto& late : requests) {
        CAPTURE(late.method);
        CAPTURE(late.beforeEndMs);
        CAPTURE(late.workMs);
        CAPTURE(late.deadlineMs);
        CAPTURE(late.isPipelined);
        auto statusOf = [&](const std::string& id) {
            auto found = std::ranges::find(late.answers, id, &raw_answer::id);
            return found == late.answers.end() ? 0U : found->status;
        };
        for (auto& id : { late.id, late.id + "-behind" }) {
            if (id != late.id && !late.isPipelined)
                continue;
            auto status = statusOf(id);
            CAPTURE(id);
            CAPTURE(status);
            // What was passed on is answered; a refusal is true; nothing unfinished is passed on.
            CHECK((runs[id] == 0 || status != 0));
            CHECK((status != 503 || runs[id] == 0));
            CHECK((!late.isBodyUnfinished || runs[id] == 0));
            // A caller who waits for longer than is left is refused at once, so that the target does not begin.
            auto canEnd = late.beforeEndMs > 600 + std::min(late.workMs, late.deadlineMs);
            CHECK((canEnd || late.deadlineMs < late.beforeEndMs || runs[id] == 0));
        }
    }
}
