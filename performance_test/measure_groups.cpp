// Measures the processor time of serving groups on one node of a fleet of full size: `name value unit target pass|fail`.
// Usage: measure_groups

#include "gypsumhub/core/hash.h"
#include "gypsumhub/decision/decision_core.h"

#include <algorithm>
#include <cstdio>
#include <ctime>
#include <string>
#include <vector>

namespace gypsumhub {

namespace {

    constexpr auto nodeCount = 3600;
    constexpr auto serviceCount = 1500;
    constexpr auto targetCount = 37000;
    constexpr auto dataCentreCount = 5;
    constexpr auto secondsPerDay = 86400.0;
    // A restart or a failure causes two membership changes: the node leaves and comes back.
    constexpr auto membershipChangesPerDay = 2 * (11000 + 63);
    constexpr auto configurationChangesPerDay = 3100;
    // Percentages of a core, out of the total limit of 2.7 % for control work.
    constexpr auto membershipShareOfCore = 0.5;
    constexpr auto configurationShareOfCore = 1.0;
    constexpr auto rounds = 20;

    /// Ignores all commands.
    class ignoring_listener final : public command_listener {
        auto onCommand(decision_command) -> void override { }
    };

    auto dataCentreName(int index) -> std::string
    {
        return "dc-" + std::to_string(index % dataCentreCount);
    }

    auto makeNodes(configuration& config) -> void
    {
        for (auto index = 0; index < dataCentreCount; ++index)
            config.dataCentres[dataCentreName(index)] = { dataCentreName(index), "region-" + std::to_string(index % 2) };
        for (auto index = 0; index < nodeCount; ++index) {
            auto name = "hub-" + std::to_string(index);
            auto spec = node_spec { name, { hashName(name) }, dataCentreName(index) };
            config.nodes.emplace(name, spec);
        }
    }

    auto makeServices(configuration& config) -> void
    {
        for (auto index = 0; index < serviceCount; ++index) {
            auto name = "service-" + std::to_string(index);
            auto spec = std::make_shared<service_spec>();
            spec->name = name;
            spec->key = { hashName(name) };
            for (auto target = index; target < targetCount; target += serviceCount) {
                auto vm = name + "-vm-" + std::to_string(target);
                spec->targets.push_back({ vm, { hashName(vm) }, { "127.0.0.1", 80 }, dataCentreName(target) });
            }
            config.services.emplace(name, std::move(spec));
        }
    }

    auto processorSeconds() -> double
    {
        auto value = timespec {};
        clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &value);
        return static_cast<double>(value.tv_sec) + static_cast<double>(value.tv_nsec) * 1e-9;
    }

    auto printAtMost(const char* name, double value, const char* unit, double target) -> void
    {
        std::printf("%s %.4g %s <=%g %s\n", name, value, unit, target, value <= target ? "pass" : "fail");
    }

    /// A decision core with the nodes and services of a full-size configuration.
    class groups_bench {
    public:
        groups_bench()
            : m_core(decision_settings { { hashName("hub-0") }, dataCentreName(0) })
        {
            makeNodes(*m_config);
            makeServices(*m_config);
            for (auto& [name, node] : m_config->nodes)
                m_alive.push_back(node.key);
            std::ranges::sort(m_alive);
            handle(configuration_event { m_config });
            handle(membership_event { m_alive });
        }

        // Mean processor time when one node leaves or comes back.
        auto membershipSeconds() -> double
        {
            auto startedAt = processorSeconds();
            for (auto round = 0; round < rounds; ++round) {
                auto fewer = m_alive;
                fewer.erase(fewer.begin() + 100 * round);
                handle(membership_event { fewer });
                handle(membership_event { m_alive });
            }
            return (processorSeconds() - startedAt) / (2 * rounds);
        }

        // Mean processor time of a change of one rule.
        auto configurationSeconds() -> double
        {
            auto startedAt = processorSeconds();
            for (auto round = 0; round < rounds; ++round) {
                auto next = std::make_shared<configuration>(*m_config);
                auto changed = std::make_shared<service_spec>(*next->services.begin()->second);
                changed->rules.floorPercent = 50 + static_cast<uint32_t>(round);
                next->services.begin()->second = changed;
                handle(configuration_event { next });
            }
            return (processorSeconds() - startedAt) / rounds;
        }

    private:
        auto handle(const decision_event& event) -> void
        {
            m_now = m_now + milliseconds(100);
            m_core.handle(event, m_now, m_listener);
        }

        std::shared_ptr<configuration> m_config { std::make_shared<configuration>() };
        std::vector<node_key> m_alive;
        decision_core m_core;
        ignoring_listener m_listener;
        time_point m_now { 0 };
    };

    auto run() -> void
    {
        auto bench = groups_bench {};
        auto membership = bench.membershipSeconds();
        printAtMost("groups_membership_change_core_percent", membership * membershipChangesPerDay / secondsPerDay * 100, "%", membershipShareOfCore);
        std::printf("groups_membership_change_cpu_ms %.4g ms none info\n", membership * 1000);
        auto change = bench.configurationSeconds();
        printAtMost("groups_configuration_change_core_percent", change * configurationChangesPerDay / secondsPerDay * 100, "%", configurationShareOfCore);
        std::printf("groups_configuration_change_cpu_ms %.4g ms none info\n", change * 1000);
    }

} // namespace

} // namespace gypsumhub

auto main() -> int
{
    gypsumhub::run();
    return 0;
}
