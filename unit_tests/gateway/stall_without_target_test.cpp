#include "unit_tests/gateway/raw_caller.h"

using namespace gypsumhub;

namespace {

constexpr auto workMs = 1'200;

// The answer to a safe request that takes long; `onRunning` is called while its target works on it.
template <typename Action>
auto answerOfLongWork(gateway_fixture& fleet, Action onRunning) -> unsigned
{
    auto caller = raw_caller(gateway_fixture::callerAddress(0));
    caller.send(raw_request { .id = "long", .delayMs = workMs }.text());
    REQUIRE(eventually([&] { return fleet.executionsOf("long") >= 1; }));
    onRunning();
    return caller.read().status;
}

} // namespace

TEST_CASE("LOST: long work of the only target of a service is not broken off for a retry that no target can take")
{
    auto fleet = gateway_fixture(milliseconds(2'000), 1);
    CHECK(answerOfLongWork(fleet, [] {}) == 200);
}

TEST_CASE("LOST: long work of a target that is removed meanwhile is not broken off for a retry that no target can take")
{
    auto fleet = gateway_fixture(milliseconds(2'000), 1);
    CHECK(answerOfLongWork(fleet, [&] { fleet.store.remove("servers/" + gateway_fixture::targetId(0)); }) == 200);
}

TEST_CASE("LOST: long work is not broken off for a retry while all other targets are draining")
{
    auto fleet = gateway_fixture(milliseconds(2'000), 3);
    CHECK(answerOfLongWork(fleet, [&] {
        for (auto index = 0; index < 3; ++index) {
            if (fleet.targets[static_cast<size_t>(index)]->runs("long") == 0)
                fleet.registerTarget(index, "draining");
        }
    }) == 200);
}
