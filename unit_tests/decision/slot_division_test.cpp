#include "unit_tests/decision/core_bench.h"

#include <doctest/doctest.h>
#include <numeric>

namespace gypsumhub {

namespace {

    /// Sums over all members of each target's shares.
    struct division {
        explicit division(const core_bench_settings& settings)
        {
            sums.resize(static_cast<size_t>(settings.targets));
            for (auto node = 0; node < settings.nodes; ++node) {
                auto own = settings;
                own.self = node;
                auto bench = core_bench { own };
                auto held = uint32_t { 0 };
                for (auto target = 0; target < settings.targets; ++target) {
                    sums[static_cast<size_t>(target)] += bench.record(target).slotShare;
                    held += bench.record(target).slotShare;
                }
                perNode.push_back(held);
            }
        }

        std::vector<uint32_t> sums;
        std::vector<uint32_t> perNode;
    };

} // namespace

TEST_CASE("the members' shares of a target add up to its slots, and members hold equally many")
{
    for (auto slots : { uint16_t { 3 }, uint16_t { 4 } }) {
        for (auto targets : { 1, 8, 18 }) {
            for (auto nodes : { 1, 3, 12 }) {
                auto result = division({ .targets = targets, .slots = slots, .nodes = nodes, .dataCentres = 4 });
                for (auto sum : result.sums)
                    CHECK(sum == slots);
                auto [fewest, most] = std::ranges::minmax(result.perNode);
                CHECK(most - fewest <= 1);
            }
        }
    }
}

} // namespace gypsumhub
