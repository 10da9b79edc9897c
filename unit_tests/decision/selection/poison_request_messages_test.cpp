#include "gypsumhub/decision/selection/poison_request_detector.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace gypsumhub;

namespace {

using detector = poison_request_detector;

auto at(int64_t ms) -> time_point
{
    return time_point {} + milliseconds(ms);
}

auto request(uint64_t number) -> request_fingerprint
{
    return { number * 0x9e3779b97f4a7c15U, number };
}

const auto poison = request(1);
const auto otherPoison = request(2);

} // namespace

TEST_CASE("a node that received only a peer's quarantine holds the request back, no longer than the maximum")
{
    auto tested = detector {};
    tested.recordQuarantine({ poison, never }, at(0));
    CHECK_FALSE(tested.isEmpty());
    CHECK(tested.quarantined(at(0)).front().until == at(0) + detector::quarantineTime);
    tested.recordQuarantine({ poison, at(5'000) }, at(1'000));
    CHECK(tested.quarantined(at(1'000)).front().until == at(0) + detector::quarantineTime);
    CHECK(tested.quarantinedUntil(poison, at(6'000)));
    tested.recordQuarantine({ otherPoison, at(6'000) }, at(6'000));
    CHECK_FALSE(tested.quarantinedUntil(otherPoison, at(6'000)));
}

TEST_CASE("more quarantines than fit in a message are all sent, the newest at once, and the one that ends first is dropped")
{
    auto tested = detector {};
    for (auto index = uint64_t { 0 }; index < 1'100; ++index)
        tested.recordQuarantine({ request(index + 1), at(100'000 + static_cast<int64_t>(index)) }, at(0));
    CHECK(tested.quarantinedCount() == detector::maxQuarantined);
    CHECK_FALSE(tested.quarantinedUntil(request(76), at(1)));
    auto sent = std::vector<request_fingerprint> {};
    for (auto message = 0; message < 128; ++message) {
        auto held = tested.quarantined(at(1));
        REQUIRE(held.size() == detector::maxQuarantinedPerMessage);
        CHECK(held.front().fingerprint == request(1'100));
        CHECK(std::is_sorted(held.begin(), held.end(), [](auto& a, auto& b) { return a.until > b.until; }));
        for (auto& each : held)
            sent.push_back(each.fingerprint);
    }
    std::sort(sent.begin(), sent.end());
    sent.erase(std::unique(sent.begin(), sent.end()), sent.end());
    CHECK(sent.size() == detector::maxQuarantined);
}
