#include "gypsumhub/decision/request/borrow_gate.h"
#include "gypsumhub/decision/request/target_chooser.h"

#include "gypsumhub/core/random_generator.h"

#include <algorithm>
#include <array>
#include <doctest/doctest.h>
#include <map>

namespace gypsumhub {

namespace {

    auto makeService(size_t targets, uint16_t slots) -> service_view
    {
        auto service = service_view {};
        service.spec = std::make_shared<service_spec>();
        for (auto index = size_t { 0 }; index < targets; ++index) {
            auto view = target_view { .key = { index + 1 }, .slotShare = slots };
            view.load = std::make_shared<target_load>();
            service.targets.push_back(view);
        }
        return service;
    }

    auto countTurns(const service_view& service, int requests) -> std::map<vm_key, int>
    {
        auto random = random_generator(7);
        auto turns = std::map<vm_key, int> {};
        for (auto request = 0; request < requests; ++request)
            ++turns[chooseTarget(service, { .idempotent = true, .random = random() })->key];
        return turns;
    }

} // namespace

TEST_CASE("idle targets get equal turns, and a demoted one its share")
{
    auto service = makeService(8, 4);
    service.targets[3].weight = 250;
    auto turns = countTurns(service, 7250);
    for (auto& [key, count] : turns)
        CHECK(count == doctest::Approx(key.value == 4 ? 250 : 1000).epsilon(0.02));
}

TEST_CASE("a target that joins late gets its turn, not all the work that it missed")
{
    auto service = makeService(8, 4);
    countTurns(service, 8000);
    service.targets.push_back({ .key = { 9 }, .slotShare = 4, .load = std::make_shared<target_load>() });
    CHECK(countTurns(service, 900)[vm_key { 9 }] <= 110);
}

TEST_CASE("a slot share is never exceeded and is free again after the lease")
{
    auto service = makeService(2, 3);
    auto leases = std::vector<chosen_target> {};
    while (auto chosen = chooseTarget(service, {}))
        leases.push_back(std::move(*chosen));
    CHECK(leases.size() == 6);
    CHECK(freeSlots(service) == 0);
    leases.pop_back();
    CHECK(freeSlots(service) == 1);
    CHECK(chooseTarget(service, {}).has_value());
}

TEST_CASE("the other region, trial targets and tried targets are chosen only when the query allows them")
{
    auto service = makeService(4, 1);
    service.targets[0].distance = 2;
    service.targets[1].state = health_state::Trial;
    auto excluded = std::array { vm_key { 3 } };
    auto first = chooseTarget(service, { .excluded = excluded });
    REQUIRE(first.has_value());
    CHECK((first->key == vm_key { 4 }));
    auto second = chooseTarget(service, { .excluded = excluded });
    REQUIRE(second.has_value());
    CHECK((second->key == vm_key { 1 }));
    CHECK_FALSE(chooseTarget(service, { .excluded = excluded }).has_value());
    CHECK(chooseTarget(service, { .excluded = excluded, .idempotent = true })->trial);
}

TEST_CASE("a sampled choice among 2,500 targets still finds the only free slot")
{
    auto service = makeService(2500, 1);
    for (auto& view : service.targets)
        view.load->inFlight = 1;
    service.targets[1777].load->inFlight = 0;
    auto chosen = chooseTarget(service, { .random = 5 });
    REQUIRE(chosen.has_value());
    CHECK((chosen->key == vm_key { 1778 }));
}

TEST_CASE("a slot beyond the own share is borrowed only when the query allows it and no own slot is free")
{
    auto service = makeService(2, 1);
    service.targets[1].slotShare = 0;
    auto own = chooseTarget(service, { .mayBorrow = true });
    REQUIRE(own.has_value());
    CHECK_FALSE(own->borrowed);
    CHECK_FALSE(chooseTarget(service, {}).has_value());
    auto first = chooseTarget(service, { .mayBorrow = true });
    auto second = chooseTarget(service, { .mayBorrow = true });
    REQUIRE(first.has_value());
    REQUIRE(second.has_value());
    CHECK(first->borrowed);
    CHECK((first->key != second->key));
    CHECK_FALSE(chooseTarget(service, { .mayBorrow = true }).has_value());
}

TEST_CASE("a request that has failed once prefers a borrowed slot of a healthy target to an own one of a suspect")
{
    auto service = makeService(3, 1);
    service.targets[0].state = health_state::Demoted;
    service.targets[1].slotShare = 0;
    auto excluded = std::array { vm_key { 3 } };
    auto retry = chooseTarget(service, { .excluded = excluded, .mayBorrow = true });
    REQUIRE(retry.has_value());
    CHECK((retry->key == vm_key { 2 }));
    auto withoutBorrowing = chooseTarget(service, { .excluded = excluded });
    REQUIRE(withoutBorrowing.has_value());
    CHECK((withoutBorrowing->key == vm_key { 1 }));
}

TEST_CASE("the gate closes on a shed for a time that doubles, and opens again")
{
    auto gate = borrow_gate {};
    auto now = time_point {} + minutes(1);
    CHECK(gate.isOpen(now));
    gate.onShed(now);
    CHECK_FALSE(gate.isOpen(now + milliseconds(99)));
    CHECK(gate.isOpen(now + milliseconds(100)));
    gate.onShed(now + milliseconds(100));
    CHECK_FALSE(gate.isOpen(now + milliseconds(299)));
    CHECK(gate.isOpen(now + milliseconds(300)));
    // After a long time without a shed it starts anew.
    gate.onShed(now + minutes(1));
    CHECK(gate.isOpen(now + minutes(1) + milliseconds(100)));
}

TEST_CASE("a suspect whose failures keep its slots free draws no more than its turns")
{
    auto service = makeService(4, 1);
    service.targets[0].state = health_state::Demoted;
    service.targets[0].weight = 500;
    auto busy = std::vector<chosen_target> {};
    auto toSuspect = 0;
    for (auto request = 0; request < 100; ++request) {
        auto chosen = chooseTarget(service, { .idempotent = true });
        if (!chosen)
            continue;
        if (chosen->key == vm_key { 1 })
            ++toSuspect;
        else
            busy.push_back(std::move(*chosen));
    }
    CHECK(busy.size() == 3);
    CHECK(toSuspect <= 4);
}

} // namespace gypsumhub
