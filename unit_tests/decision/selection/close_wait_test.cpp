#include "gypsumhub/decision/selection/close_wait.h"
#include "gypsumhub/decision/selection/delivery_progress.h"

#include <doctest/doctest.h>

using namespace gypsumhub;

namespace {

auto at(int64_t ms) -> time_point
{
    return time_point {} + milliseconds(ms);
}

constexpr auto maxBytes = size_t { 1'000'000 };

} // namespace

TEST_CASE("a connection is not closed while its caller still receives the last answer")
{
    auto wait = close_wait(at(0), false, maxBytes);
    for (auto ms = int64_t { 0 }; ms < 60'000; ms += 20) {
        // 100 bytes a second.
        wait.recordUnsent(static_cast<size_t>(10'000 - ms / 10), at(ms));
        REQUIRE_FALSE(wait.isOver(at(ms)));
        CHECK_FALSE(wait.isDelivered());
    }
    wait.recordUnsent(0, at(60'000));
    CHECK(wait.isDelivered());
    CHECK_FALSE(wait.isOver(at(60'200)));
    CHECK(wait.isOver(at(60'400)));
}

TEST_CASE("a caller that receives nothing of the last answer for ten seconds does not keep its connection")
{
    auto wait = close_wait(at(0), false, maxBytes);
    auto ms = int64_t { 0 };
    for (; !wait.isOver(at(ms)) && ms < 60'000; ms += 20)
        wait.recordUnsent(5'000, at(ms));
    CHECK(ms >= 10'000);
    CHECK(ms < 10'500);
    CHECK_FALSE(wait.isDelivered());
}

TEST_CASE("a connection is not closed while its caller still sends, but not kept for one that sends without end")
{
    auto wait = close_wait(at(0), false, maxBytes);
    wait.recordUnsent(0, at(0));
    auto ms = int64_t { 0 };
    for (; !wait.isOver(at(ms)) && ms < 60'000; ms += 200)
        wait.recordDiscarded(10, at(ms));
    CHECK(ms >= 9'000);
    CHECK(ms < 10'500);
    auto flooded = close_wait(at(0), false, maxBytes);
    flooded.recordDiscarded(maxBytes, at(1));
    CHECK_FALSE(flooded.isOver(at(1)));
    flooded.recordDiscarded(1, at(2));
    CHECK(flooded.isOver(at(2)));
}

TEST_CASE("a caller whose request was refused may pause for a second while it sends the rest")
{
    auto wait = close_wait(at(0), true, maxBytes);
    wait.recordUnsent(0, at(10));
    CHECK_FALSE(wait.isOver(at(1'000)));
    wait.recordDiscarded(1'000, at(1'000));
    CHECK_FALSE(wait.isOver(at(2'000)));
    CHECK(wait.isOver(at(5'000)));
}

TEST_CASE("a request behind the last answer is left unread while the answer is on its way, unless it may block the caller")
{
    auto wait = close_wait(at(0), false, maxBytes);
    wait.recordUnsent(100'000, at(0));
    CHECK_FALSE(wait.mayDiscard(300));
    CHECK(wait.mayDiscard(40'000));
    wait.recordUnsent(0, at(500));
    CHECK(wait.mayDiscard(300));
    auto refused = close_wait(at(0), true, maxBytes);
    refused.recordUnsent(100, at(0));
    CHECK(refused.mayDiscard(1));
}

TEST_CASE("where the platform does not tell what is unsent, a connection is closed after a short time without bytes")
{
    auto wait = close_wait(at(0), false, maxBytes);
    wait.recordUnsent(std::nullopt, at(0));
    CHECK(wait.mayDiscard(1));
    CHECK_FALSE(wait.isOver(at(200)));
    CHECK(wait.isOver(at(400)));
}

TEST_CASE("only an answer that its connection takes at once may announce the close of a stopping node")
{
    CHECK(isSentAtOnce(1'000, 0));
    CHECK(isSentAtOnce(1'000, std::nullopt));
    CHECK_FALSE(isSentAtOnce(1'000, 100'000));
    CHECK_FALSE(isSentAtOnce(100'000, 0));
}

TEST_CASE("a caller that goes on receiving an answer is not given up, one that receives nothing is")
{
    auto progress = delivery_progress(at(0));
    auto ms = int64_t { 0 };
    for (; ms < 120'000; ms += 5'000) {
        progress.record(static_cast<uint64_t>(ms), at(ms));
        REQUIRE_FALSE(progress.isStalled(at(ms)));
    }
    for (; !progress.isStalled(at(ms)); ms += 1'000)
        progress.record(115'000, at(ms));
    CHECK(ms >= 125'000);
    CHECK(ms <= 126'000);
}
