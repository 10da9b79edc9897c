#include "gypsumhub/decision/request/admission_queue.h"

#include <doctest/doctest.h>

namespace gypsumhub {

TEST_CASE("waiting requests leave in order of deadline")
{
    auto queue = admission_queue(8);
    auto now = time_point {};
    CHECK((queue.admit(1, now + seconds(9), now, 4) == result_code::Ok));
    CHECK((queue.admit(2, now + seconds(3), now, 4) == result_code::Ok));
    CHECK((queue.admit(3, now + seconds(6), now, 4) == result_code::Ok));
    auto expired = std::vector<uint64_t> {};
    CHECK(queue.next(now, expired) == 2);
    CHECK(queue.next(now, expired) == 3);
    CHECK(queue.remove(1));
    CHECK_FALSE(queue.next(now, expired).has_value());
    CHECK(expired.empty());
}

TEST_CASE("a request that is expected to end after its deadline is refused at once")
{
    auto queue = admission_queue(1000);
    auto now = time_point {};
    for (auto round = 0; round < 200; ++round)
        queue.recordHoldTime(milliseconds(100));
    // One slot at 100 ms each serves ten requests in a second; the last three holds are kept for the request itself.
    auto admitted = 0;
    for (auto id = uint64_t { 1 }; id <= 50; ++id)
        admitted += queue.admit(id, now + seconds(1), now, 1) == result_code::Ok ? 1 : 0;
    CHECK(admitted >= 6);
    CHECK(admitted <= 7);
}

TEST_CASE("a request whose time is used up is taken out, never sent")
{
    auto queue = admission_queue(8);
    auto now = time_point {};
    REQUIRE((queue.admit(1, now + milliseconds(100), now, 4) == result_code::Ok));
    REQUIRE((queue.admit(2, now + seconds(5), now, 4) == result_code::Ok));
    auto expired = std::vector<uint64_t> {};
    CHECK(queue.next(now + milliseconds(99), expired) == 2);
    CHECK(expired == std::vector<uint64_t> { 1 });
    CHECK((queue.admit(3, now, now, 4) == result_code::DeadlineBeforeSend));
}

} // namespace gypsumhub
