// Cost of the decision core for one attempt, one tick and one published snapshot, by number of targets.

#include "gypsumhub/core/hash.h"
#include "gypsumhub/decision/blackboard.h"
#include "gypsumhub/decision/decision_core.h"

#include <algorithm>
#include <benchmark/benchmark.h>
#include <string>

namespace gypsumhub {

namespace {

    /// Counts the commands and ignores them.
    class counting_listener : public command_listener {
    public:
        auto onCommand(decision_command) -> void override { ++commands; }

        uint64_t commands { 0 };
    };

    auto targetName(int64_t index) -> std::string { return "vm" + std::to_string(index); }

    auto makeConfiguration(int64_t targets) -> std::shared_ptr<configuration>
    {
        auto config = std::make_shared<configuration>();
        config->dataCentres["ahd-a"] = { "ahd-a", "ahd" };
        auto spec = std::make_shared<service_spec>();
        spec->name = "bookdesk";
        spec->key = { hashName(spec->name) };
        for (auto index = int64_t { 0 }; index < targets; ++index)
            spec->targets.push_back({ targetName(index), { hashName(targetName(index)) }, { "10.0.0.1", 80 }, "ahd-a", 4 });
        config->services[spec->name] = spec;
        return config;
    }

    /// A decision core with one service, and the attempts that are reported to it.
    struct fixture {
        explicit fixture(int64_t targets)
            : core({ { 1 }, "ahd-a", 1 })
        {
            core.handle(configuration_event { makeConfiguration(targets) }, now, listener);
            auto random = random_generator { 7 };
            for (auto index = 0; index < 4096; ++index) {
                auto target = vm_key { hashName(targetName(static_cast<int64_t>(random.below(static_cast<uint64_t>(targets))))) };
                auto result = random.below(200) == 0 ? attempt_result::ErrorAnswer : attempt_result::Success;
                latencies.push_back(microseconds(static_cast<int64_t>(5'000 + random.below(40'000))));
                reports.push_back({ { hashName("bookdesk") }, target, result });
            }
        }

        auto next() -> attempt_event
        {
            now = now + microseconds(1000);
            auto report = reports[position % reports.size()];
            report.endedAt = now;
            report.startedAt = now - latencies[position % reports.size()];
            ++position;
            return { report };
        }

        time_point now { seconds(1000).ns };
        counting_listener listener;
        decision_core core;
        std::vector<attempt_report> reports;
        std::vector<duration> latencies;
        size_t position { 0 };
    };

    auto handleAttempt(benchmark::State& state) -> void
    {
        auto bench = fixture(state.range(0));
        for (auto _ : state)
            bench.core.handle(bench.next(), bench.now, bench.listener);
        state.counters["commands_per_event"] = static_cast<double>(bench.listener.commands) / static_cast<double>(state.iterations());
    }

    auto handleTick(benchmark::State& state) -> void
    {
        auto bench = fixture(state.range(0));
        for (auto warm = 0; warm < 4096; ++warm)
            bench.core.handle(bench.next(), bench.now, bench.listener);
        for (auto _ : state) {
            bench.now = bench.now + tickInterval;
            bench.core.handle(tick_event {}, bench.now, bench.listener);
        }
    }

    auto publishSnapshot(benchmark::State& state) -> void
    {
        auto bench = fixture(state.range(0));
        auto list = vm_list_event {};
        for (auto index = int64_t { 0 }; index < state.range(0); ++index)
            list.live.push_back({ hashName(targetName(index)) });
        auto fewer = list;
        fewer.live.pop_back();
        // The lists alternate between all VMs and one VM fewer, so that each list causes a new snapshot.
        auto iteration = 0;
        for (auto _ : state)
            bench.core.handle(++iteration % 2 ? fewer : list, bench.now, bench.listener);
    }

    auto recordBytes(benchmark::State& state) -> void
    {
        for (auto _ : state)
            benchmark::DoNotOptimize(state.iterations());
        state.counters["bytes_per_target"] = sizeof(target_record) + sizeof(target_load) + sizeof(target_view);
        state.counters["bytes_per_opinion"] = sizeof(peer_evidence);
        state.counters["bytes_per_service"] = sizeof(service_record);
    }

    BENCHMARK(handleAttempt)->Arg(25)->Arg(250)->Arg(2500);
    BENCHMARK(handleTick)->Arg(25)->Arg(250)->Arg(2500);
    BENCHMARK(publishSnapshot)->Arg(25)->Arg(250)->Arg(2500);
    BENCHMARK(recordBytes);

} // namespace

} // namespace gypsumhub

BENCHMARK_MAIN();
