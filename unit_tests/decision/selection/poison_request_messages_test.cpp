#include "unit_tests/decision/selection/crash_reports.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace gypsumhub;
using namespace gypsumhub::crash_reports;

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

TEST_CASE("two nodes that repeat each other's quarantine over a slow path do not lengthen it")
{
    constexpr auto delay = milliseconds(40);
    auto first = detector {}, second = detector {};
    first.recordQuarantine({ poison, at(600'000) }, at(0));
    for (auto now = at(0); now < at(599'000); now = now + milliseconds(500)) {
        for (auto* sender : { &first, &second }) {
            auto& receiver = sender == &first ? second : first;
            // The remaining time in whole seconds is sent and counts from the arrival.
            for (auto& held : sender->quarantined(now))
                receiver.recordQuarantine({ held.fingerprint, now + delay + seconds((held.until - now).milliseconds() / 1'000) }, now + delay);
        }
    }
    CHECK_FALSE(first.quarantinedUntil(poison, at(601'000)));
    CHECK_FALSE(second.quarantinedUntil(poison, at(601'000)));
}
