#include "gypsumhub/core/hash.h"
#include "gypsumhub/core/random_generator.h"
#include "gypsumhub/decision/blackboard.h"
#include "gypsumhub/decision/decision_core.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <string>

namespace gypsumhub {

namespace {

    /// Discards all commands.
    class ignoring_listener final : public command_listener {
        auto onCommand(decision_command) -> void override { }
    };

    auto makeConfiguration(int nodes, int services) -> std::shared_ptr<const configuration>
    {
        auto config = std::make_shared<configuration>();
        for (auto name : { "a", "b", "c" })
            config->dataCentres[name] = { name, "region" };
        for (auto index = 0; index < nodes; ++index) {
            auto name = "hub-" + std::to_string(index);
            config->nodes[name] = { name, { hashName(name) }, std::string(1, static_cast<char>('a' + index % 3)) };
        }
        for (auto index = 0; index < services; ++index) {
            auto spec = std::make_shared<service_spec>();
            spec->name = "service-" + std::to_string(index);
            spec->key = { hashName(spec->name) };
            config->services[spec->name] = std::move(spec);
        }
        return config;
    }

    auto handle(decision_core& core, const decision_event& event, int step) -> void
    {
        auto listener = ignoring_listener {};
        core.handle(event, time_point { 0 } + seconds(step), listener);
    }

    // The groups of a node that receives configuration and membership only once.
    auto chooseAtOnce(const std::shared_ptr<const configuration>& config, const std::vector<node_key>& alive) -> std::vector<service_record>
    {
        auto core = decision_core({ { hashName("hub-0") }, "a" });
        handle(core, membership_event { alive }, 0);
        handle(core, configuration_event { config }, 1);
        return core.board().services;
    }

} // namespace

TEST_CASE("incrementally updated groups equal the groups of a newly started node")
{
    auto random = random_generator(20261204);
    auto config = makeConfiguration(30, 20);
    auto core = decision_core({ { hashName("hub-0") }, "a" });
    handle(core, configuration_event { config }, 0);
    for (auto step = 1; step <= 200; ++step) {
        // A random subset of the nodes is alive; every 40 steps services and nodes are added.
        auto alive = std::vector<node_key> {};
        for (auto& [name, node] : config->nodes) {
            if (random.below(10) < 8)
                alive.push_back(node.key);
        }
        if (step % 40 == 0) {
            config = makeConfiguration(30 + step / 40, 20 + step / 20);
            handle(core, configuration_event { config }, step);
        }
        handle(core, membership_event { alive }, step);
        auto expected = chooseAtOnce(config, alive);
        auto& services = core.board().services;
        REQUIRE(services.size() == expected.size());
        for (auto index = size_t { 0 }; index < services.size(); ++index) {
            CHECK((services[index].group == expected[index].group));
            CHECK(services[index].servedHere == expected[index].servedHere);
        }
    }
}

} // namespace gypsumhub
