#include "unit_tests/decision/core_fixture.h"

#include <doctest/doctest.h>
#include <numeric>

namespace gypsumhub {

namespace {

    /// The slot shares that the cores of all nodes compute for one configuration.
    struct division {
        explicit division(const core_fixture_settings& settings)
        {
            sums.resize(static_cast<size_t>(settings.targets));
            for (auto node = 0; node < settings.nodes; ++node) {
                auto own = settings;
                own.self = node;
                auto fixture = core_fixture { own };
                auto held = uint32_t { 0 };
                for (auto target = 0; target < settings.targets; ++target) {
                    sums[static_cast<size_t>(target)] += fixture.record(target).slotShare;
                    held += fixture.record(target).slotShare;
                }
                perNode.push_back(held);
                isMember.push_back(fixture.view().servedHere);
            }
        }

        /// Sum of the nodes' shares, for each target.
        std::vector<uint32_t> sums;
        /// Slots of all targets, for each node.
        std::vector<uint32_t> perNode;
        std::vector<bool> isMember;
    };

} // namespace

TEST_CASE("the members' shares of a target add up to its slots, and the members of a region have equal shares")
{
    for (auto slots : { uint16_t { 3 }, uint16_t { 4 } }) {
        for (auto targets : { 1, 8, 18 }) {
            for (auto nodes : { 1, 3, 12 }) {
                auto result = division({ .targets = targets, .slots = slots, .nodes = nodes, .dataCentres = 4 });
                for (auto sum : result.sums)
                    CHECK(sum == slots);
                // A node outside the group has no slots.
                for (auto node = size_t { 0 }; node < result.perNode.size(); ++node)
                    CHECK((result.isMember[node] || result.perNode[node] == 0));
                // Each region is divided separately. Within a region, the shares differ by at most one slot.
                for (auto region = size_t { 0 }; region < 2 && nodes == 12 && targets > 1; ++region) {
                    auto held = std::vector<uint32_t> {};
                    for (auto node = size_t { 0 }; node < result.perNode.size(); ++node) {
                        if (node % 4 / 2 == region && result.isMember[node])
                            held.push_back(result.perNode[node]);
                    }
                    REQUIRE(held.size() >= 2);
                    auto [fewest, most] = std::ranges::minmax(held);
                    CHECK(most - fewest <= 1);
                }
            }
        }
    }
}

TEST_CASE("no member has slots in another region while both regions have members")
{
    auto settings = core_fixture_settings { .targets = 18, .nodes = 12, .dataCentres = 4 };
    for (settings.self = 0; settings.self < settings.nodes; ++settings.self) {
        auto fixture = core_fixture { settings };
        for (auto target = 0; target < settings.targets; ++target)
            CHECK((fixture.record(target).slotShare == 0 || fixture.record(target).distance < 2));
    }
}

} // namespace gypsumhub
