#include "fakes/fake_vm_list_server.h"
#include "fakes/faults_of.h"
#include "gypsumhub/core/clock.h"
#include "gypsumhub/store/call_budget.h"
#include "gypsumhub/store/endpoint_backoff.h"
#include "gypsumhub/store/http_vm_list.h"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <doctest/doctest.h>
#include <rapidcheck.h>
#include <set>
#include <thread>

namespace gypsumhub {

TEST_CASE("a call budget never admits more calls than its burst and its rate allow")
{
    auto holds = rc::check("budget bound", [](const std::vector<uint8_t>& gaps) {
        auto budget = call_budget({ 10, 5 });
        auto now = time_point {} + seconds(100);
        auto start = now;
        for (auto gap : gaps) {
            now = now + milliseconds(gap);
            budget.tryAcquire(now);
        }
        auto bound = 5 + (now - start).milliseconds() * 10 / 1000 + 1;
        RC_ASSERT(budget.admitted() <= static_cast<uint64_t>(bound));
        RC_ASSERT(budget.admitted() + budget.refused() == gaps.size());
    });
    CHECK(holds);
}

TEST_CASE("backoff grows to its limit, has jitter and is reset by a success")
{
    auto firstAttempts = std::set<int64_t> {};
    for (auto seed = uint64_t { 1 }; seed <= 20; ++seed) {
        auto backoff = endpoint_backoff({ milliseconds(100), seconds(10) }, seed);
        auto now = time_point {} + seconds(1);
        CHECK(backoff.mayAttempt(now));
        backoff.recordFailure(now);
        firstAttempts.insert(backoff.nextAttempt().ns);
        CHECK_FALSE(backoff.mayAttempt(now + milliseconds(49)));
        CHECK(backoff.mayAttempt(now + milliseconds(100)));
        for (auto failure = 0; failure < 40; ++failure)
            backoff.recordFailure(now);
        CHECK(backoff.nextAttempt() >= now + seconds(5));
        CHECK(backoff.nextAttempt() <= now + seconds(10));
        backoff.recordSuccess();
        CHECK(backoff.mayAttempt(now));
    }
    CHECK(firstAttempts.size() > 15);
}

TEST_CASE("the VM list is read over HTTP, and changes appear in it with a delay")
{
    auto context = boost::asio::io_context(1);
    auto server = fake_vm_list_server(context, "127.0.0.1", 0);
    auto& list = server.list();
    list.change("vm-1", listed_vm_state::Live);
    list.change("vm-2", listed_vm_state::Live);
    list.change("vm-3", listed_vm_state::Live);
    list.change("vm-2", listed_vm_state::Leaving);
    list.change("vm-3", listed_vm_state::Gone);
    auto thread = std::thread([&] { context.run(); });
    auto reader = http_vm_list({ "127.0.0.1", server.port() });
    auto content = reader.fetch(wallClockNow() + seconds(20)).value();
    CHECK(content.live == std::vector<std::string> { "vm-1" });
    CHECK(content.leaving == std::vector<std::string> { "vm-2" });
    context.stop();
    thread.join();

    auto now = time_point {} + seconds(1);
    auto lagging = fake_vm_list(now);
    lagging.setLag(seconds(30));
    lagging.change("vm-1", listed_vm_state::Live);
    CHECK(lagging.visibleAt(now).live.empty());
    CHECK(lagging.visibleAt(now + seconds(30)).live.size() == 1);
}

TEST_CASE("a malformed VM list is refused")
{
    for (auto body : { "", "[]", "{}", R"({"live":[1],"leaving":[]})", R"({"live":[]})", R"({"live":{},"leaving":[]})" })
        CHECK((codeOf([&] { return parseVmList(body); }) == result_code::StoreProtocolError));
}

} // namespace gypsumhub
