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

    auto countRequests(const service_view& service, int requests) -> std::map<vm_key, int>
    {
        auto random = random_generator(7);
        auto counts = std::map<vm_key, int> {};
        for (auto request = 0; request < requests; ++request)
            ++counts[chooseTarget(service, { .idempotent = true, .random = random() })->key];
        return counts;
    }

} // namespace

TEST_CASE("idle targets get requests in proportion to their weights")
{
    auto service = makeService(8, 4);
    service.targets[3].weight = 250;
    auto counts = countRequests(service, 7250);
    for (auto& [key, count] : counts)
        CHECK(count == doctest::Approx(key.value == 4 ? 250 : 1000).epsilon(0.02));
}

TEST_CASE("a target that joins late gets its share of new requests and does not catch up on earlier ones")
{
    auto service = makeService(8, 4);
    countRequests(service, 8000);
    service.targets.push_back({ .key = { 9 }, .slotShare = 4, .load = std::make_shared<target_load>() });
    CHECK(countRequests(service, 900)[vm_key { 9 }] <= 110);
}

TEST_CASE("a slot share is not exceeded, and a slot is free again after its lease")
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

TEST_CASE("targets of the other region are chosen last, and trial and excluded targets only when the query allows them")
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

TEST_CASE("the only free slot among 2,500 targets is found")
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

TEST_CASE("a retry prefers a borrowed slot of a healthy target to an own slot of a suspected target")
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

TEST_CASE("a shed closes the borrow gate for a time that doubles with each further shed")
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
    // After a long time without a shed, the closed time starts at its minimum again.
    gate.onShed(now + minutes(1));
    CHECK(gate.isOpen(now + minutes(1) + milliseconds(100)));
}

TEST_CASE("a suspected target whose failures keep its slots free gets no more than its share of requests")
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
