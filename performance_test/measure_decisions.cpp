// Measures the routing decisions in virtual time and compares them with a naive version: `name value unit target pass|fail`.
// Usage: measure_decisions [--schedules N] [--seed S] [--vm-days D] [--only GROUP]

#include "fakes/schedule_run.h"
#include "gypsumhub/decision/request/target_chooser.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <functional>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>

namespace gypsumhub {

namespace {

    constexpr auto threadCount = size_t { 4 };
    constexpr auto faultFrom = time_point {} + seconds(15);
    constexpr auto faultUntil = faultFrom + seconds(30);
    constexpr auto detectionEnd = faultUntil + seconds(5);
    constexpr auto requestsPerTarget = 5.0;
    constexpr auto detectionRuns = uint64_t { 100 };
    constexpr auto secondsPerDay = 86'400.0;
    // Mean service time of the target model.
    constexpr auto meanServiceSeconds = 0.0344;

    /// Command line options.
    struct options {
        uint64_t schedules { 10'000 };
        uint64_t seed { 1 };
        double vmDays { 20 };
        // Group to run: "choice", "detection", "ejections", "promises" or "overload"; empty for all.
        std::string_view only;

        auto includes(std::string_view group) const -> bool { return only.empty() || only == group; }
    };

    auto failures = 0;

    auto printLine(const std::string& name, double value, const char* unit, const std::string& target, bool passed) -> void
    {
        failures += passed ? 0 : 1;
        std::printf("%s %.4g %s %s %s\n", name.c_str(), value, unit, target.c_str(), passed ? "pass" : "fail");
        std::fflush(stdout);
    }

    auto formatted(const char* relation, double target) -> std::string
    {
        auto text = std::array<char, 32> {};
        std::snprintf(text.data(), text.size(), "%s%g", relation, target);
        return text.data();
    }

    auto printAtMost(const std::string& name, double value, const char* unit, double target) -> void
    {
        printLine(name, value, unit, formatted("<=", target), value <= target);
    }

    auto printAtLeast(const std::string& name, double value, const char* unit, double target) -> void
    {
        printLine(name, value, unit, formatted(">=", target), value >= target);
    }

    // Prints a figure that has no target.
    auto printInfoLine(const std::string& name, double value, const char* unit) -> void
    {
        std::printf("%s %.4g %s none info\n", name.c_str(), value, unit);
        std::fflush(stdout);
    }

    // Calls `work` for 0 to `count` - 1 on `threadCount` threads.
    auto forEachIndex(uint64_t count, const std::function<void(uint64_t)>& work) -> void
    {
        auto next = std::atomic<uint64_t> { 0 };
        auto threads = std::vector<std::jthread> {};
        for (auto thread = size_t { 0 }; thread < threadCount; ++thread) {
            threads.emplace_back([&] {
                for (auto index = next++; index < count; index = next++)
                    work(index);
            });
        }
    }

    auto quantile(std::vector<double> values, double share) -> double
    {
        std::ranges::sort(values);
        return values[std::min(values.size() - 1, static_cast<size_t>(share * static_cast<double>(values.size())))];
    }

    /// Limits of the detection time.
    struct detection_target {
        double medianMs;
        double p99Ms;
    };

    auto targetOf(fault_kind kind) -> detection_target
    {
        if (kind == fault_kind::Slow)
            return { 5'000, 10'000 };
        return { 2'000, 5'000 };
    }

    auto measureDetection(const schedule_deployment& deployment, fault_kind kind, size_t targets, const options& chosen) -> void
    {
        auto ours = std::vector<double>(detectionRuns);
        auto naive = std::vector<double>(detectionRuns);
        auto productToFaulty = std::atomic<uint64_t> { 0 };
        auto naiveToFaulty = std::atomic<uint64_t> { 0 };
        forEachIndex(detectionRuns, [&](uint64_t run) {
            auto plan = schedule { .deployment = deployment, .targets = targets };
            plan.seed = chosen.seed * 1'000'003 + run;
            plan.until = detectionEnd;
            plan.loads.push_back({ {}, requestsPerTarget * static_cast<double>(targets) });
            plan.faults.push_back({ kind, run % targets, faultFrom, faultUntil });
            auto product = runProduct(plan);
            auto simple = runNaive(plan);
            ours[run] = static_cast<double>(product.detection[0].milliseconds());
            naive[run] = static_cast<double>(simple.detection[0].milliseconds());
            productToFaulty += product.requestsToFaultyTargets;
            naiveToFaulty += simple.requestsToFaultyTargets;
        });
        auto suffix = "." + std::string(toString(kind)) + "." + deployment.name + "." + std::to_string(targets);
        auto target = targetOf(kind);
        auto naiveMedian = quantile(naive, 0.5);
        printAtMost("detection_ms_median" + suffix, quantile(ours, 0.5), "ms", std::min(target.medianMs, naiveMedian));
        printAtMost("detection_ms_p99" + suffix, quantile(ours, 0.99), "ms", target.p99Ms);
        printInfoLine("naive_detection_ms_median" + suffix, naiveMedian, "ms");
        if (isTargetFault(kind)) {
            auto ratio = static_cast<double>(productToFaulty) / static_cast<double>(std::max<uint64_t>(naiveToFaulty, 1));
            printAtMost("work_to_sick_vm_ratio" + suffix, ratio, "ratio", 1);
        }
    }

    // No faulty targets: heavy-tailed latency, 0.5 % errors, one cold start and one period in which the whole service is slow.
    auto measureFalseEjections(const schedule_deployment& deployment, size_t targets, double limit, const options& chosen) -> void
    {
        constexpr auto runLength = minutes(20);
        auto vmDaysPerRun = runLength.seconds() * static_cast<double>(targets) / secondsPerDay;
        auto runs = static_cast<uint64_t>(chosen.vmDays / vmDaysPerRun) + 1;
        auto ejections = std::atomic<uint64_t> { 0 };
        auto naiveEjections = std::atomic<uint64_t> { 0 };
        auto fairness = 1.0;
        auto mutex = std::mutex {};
        forEachIndex(runs, [&](uint64_t run) {
            auto plan = schedule { .deployment = deployment, .targets = targets };
            plan.seed = chosen.seed * 7'000'003 + run;
            plan.until = time_point {} + runLength;
            plan.loads.push_back({ {}, requestsPerTarget * static_cast<double>(targets) });
            auto coldFrom = time_point {} + minutes(5);
            plan.faults.push_back({ fault_kind::ColdStart, run % targets, coldFrom, coldFrom + seconds(8) });
            plan.faults.push_back({ fault_kind::WholeServiceSlow, 0, time_point {} + minutes(10), time_point {} + minutes(11) });
            auto result = runProduct(plan);
            ejections += result.falseEjections;
            naiveEjections += runNaive(plan).falseEjections;
            auto guard = std::scoped_lock(mutex);
            fairness = std::min(fairness, jainIndex(result.taken));
        });
        auto suffix = "." + deployment.name + "." + std::to_string(targets);
        auto vmDays = static_cast<double>(runs) * vmDaysPerRun;
        printAtMost("false_ejections_per_vm_day" + suffix, static_cast<double>(ejections) / vmDays, "1/day", limit);
        printInfoLine("naive_false_ejections_per_vm_day" + suffix, static_cast<double>(naiveEjections) / vmDays, "1/day");
        printAtLeast("fairness_jain" + suffix, fairness, "index", 0.95);
    }

    /// Violations of guarantees and request counts, summed over many runs.
    struct guarantee_counts {
        std::atomic<uint64_t> floorViolations { 0 };
        std::atomic<uint64_t> duplicateExecutions { 0 };
        std::atomic<uint64_t> falseNotRun { 0 };
        std::atomic<uint64_t> wrongOrCutAnswers { 0 };
        std::atomic<uint64_t> requests { 0 };
        std::atomic<uint64_t> answered { 0 };

        auto add(const schedule_result& result) -> void
        {
            floorViolations += result.floorViolations;
            duplicateExecutions += result.duplicateExecutions;
            falseNotRun += result.falseNotRun;
            wrongOrCutAnswers += result.wrongOrCutAnswers;
            requests += result.requests;
            answered += result.answered;
        }

        auto answeredShare() const -> double { return static_cast<double>(answered) / static_cast<double>(std::max<uint64_t>(requests, 1)); }
    };

    // Runs random schedules with several faults each. The naive version runs every tenth schedule for comparison.
    auto measureGuarantees(const schedule_deployment& deployment, uint64_t count, const options& chosen) -> void
    {
        auto ours = guarantee_counts {};
        auto naive = guarantee_counts {};
        forEachIndex(count, [&](uint64_t run) {
            auto plan = makeRandomSchedule(deployment, chosen.seed * 1'000'000'007 + run);
            ours.add(runProduct(plan));
            if (run % 10 == 0)
                naive.add(runNaive(plan));
        });
        auto suffix = "." + deployment.name;
        printAtMost("floor_violations" + suffix, static_cast<double>(ours.floorViolations), "count", 0);
        printAtMost("twice_run" + suffix, static_cast<double>(ours.duplicateExecutions), "count", 0);
        printAtMost("false_not_run" + suffix, static_cast<double>(ours.falseNotRun), "count", 0);
        printAtMost("wrong_or_cut_answers" + suffix, static_cast<double>(ours.wrongOrCutAnswers), "count", 0);
        printInfoLine("schedules_run" + suffix, static_cast<double>(count), "count");
        printInfoLine("requests_run" + suffix, static_cast<double>(ours.requests), "count");
        printInfoLine("answered_share" + suffix, ours.answeredShare(), "share");
        printInfoLine("naive_answered_share" + suffix, naive.answeredShare(), "share");
        printInfoLine("naive_floor_violations_a_tenth" + suffix, static_cast<double>(naive.floorViolations), "count");
        printInfoLine("naive_twice_run_a_tenth" + suffix, static_cast<double>(naive.duplicateExecutions), "count");
        printInfoLine("naive_false_not_run_a_tenth" + suffix, static_cast<double>(naive.falseNotRun), "count");
        printInfoLine("naive_wrong_or_cut_answers_a_tenth" + suffix, static_cast<double>(naive.wrongOrCutAnswers), "count");
    }

    // Seconds after `from` until 95 % of the offered requests are answered in two consecutive seconds. If that never happens, the
    // remaining seconds of the run.
    auto recoverySeconds(const schedule_result& result, size_t from) -> double
    {
        auto isGood = [&](size_t second) {
            return static_cast<double>(result.answeredPerSecond[second]) >= 0.95 * static_cast<double>(result.offeredPerSecond[second]);
        };
        auto last = result.offeredPerSecond.size() - 3;
        for (auto second = from; second < last; ++second) {
            if (isGood(second) && isGood(second + 1))
                return static_cast<double>(second - from);
        }
        return static_cast<double>(last - from);
    }

    auto amplification(const schedule_result& result) -> double
    {
        return static_cast<double>(result.attempts) / static_cast<double>(std::max<uint64_t>(result.firstAttempts, 1));
    }

    auto capacityOf(const schedule& plan) -> double
    {
        return static_cast<double>(plan.targets) * plan.deployment.slots / meanServiceSeconds;
    }

    // A load of 150 % of the capacity for ten seconds, then 50 %, with callers that retry refused requests.
    auto measureOverload(const schedule_deployment& deployment, const options& chosen) -> void
    {
        auto plan = schedule { .deployment = deployment, .targets = 18, .deadline = seconds(1), .seed = chosen.seed, .callersRetry = true };
        auto capacity = capacityOf(plan);
        plan.loads = { { {}, capacity * 0.5 }, { time_point {} + seconds(10), capacity * 1.5 }, { time_point {} + seconds(20), capacity * 0.5 } };
        plan.until = time_point {} + seconds(45);
        auto ours = runProduct(plan);
        auto naive = runNaive(plan);
        auto goodput = [&](const schedule_result& result) {
            auto sum = 0.0;
            for (auto second = size_t { 12 }; second < 20; ++second)
                sum += result.answeredPerSecond[second];
            return sum / 8 / capacity;
        };
        printAtMost("overload_recovery_s." + deployment.name, recoverySeconds(ours, 20), "s", 5);
        printInfoLine("naive_overload_recovery_s." + deployment.name, recoverySeconds(naive, 20), "s");
        printAtLeast("overload_goodput_share." + deployment.name, goodput(ours), "share", 0.8);
        printInfoLine("naive_overload_goodput_share." + deployment.name, goodput(naive), "share");
        printAtMost("overload_retry_amplification." + deployment.name, amplification(ours), "ratio", 1.2);
        printInfoLine("naive_overload_retry_amplification." + deployment.name, amplification(naive), "ratio");
        printAtMost("overload_shed_by_targets_share." + deployment.name, static_cast<double>(ours.shed) / static_cast<double>(ours.attempts), "share", 0.01);
    }

    // Half of the VMs vanish at 40 % load.
    auto measureVanishing(const schedule_deployment& deployment, const options& chosen) -> void
    {
        auto plan = schedule { .deployment = deployment, .targets = 18, .floorPercent = 50, .seed = chosen.seed };
        plan.loads = { { {}, 0.4 * capacityOf(plan) } };
        plan.until = time_point {} + seconds(45);
        for (auto target = size_t { 0 }; target < 9; ++target)
            plan.faults.push_back({ fault_kind::Vanished, target * 2, time_point {} + seconds(15), plan.until });
        auto ours = runProduct(plan);
        auto naive = runNaive(plan);
        printAtMost("vanished_half_recovery_s." + deployment.name, recoverySeconds(ours, 15), "s", 5);
        printInfoLine("naive_vanished_half_recovery_s." + deployment.name, recoverySeconds(naive, 15), "s");
        printAtMost("vanished_half_retry_amplification." + deployment.name, amplification(ours), "ratio", 1.2);
        printInfoLine("naive_vanished_half_retry_amplification." + deployment.name, amplification(naive), "ratio");
    }

    // Cost of choosing among `targets` targets with half of the slots in use, including the release of the slot.
    auto measureChoice(size_t targets, double limitNs) -> void
    {
        constexpr auto rounds = 200'000;
        auto service = service_view {};
        for (auto index = size_t { 0 }; index < targets; ++index) {
            auto view = target_view { .key = { index + 1 }, .slotShare = 4, .load = std::make_shared<target_load>() };
            view.load->inFlight = static_cast<uint32_t>(index % 5);
            service.targets.push_back(std::move(view));
        }
        auto random = random_generator(1);
        auto found = 0;
        // Measures processor time, which excludes other load on the machine.
        auto startedAt = std::clock();
        for (auto round = 0; round < rounds; ++round)
            found += chooseTarget(service, { .idempotent = true, .random = random() }).has_value() ? 1 : 0;
        auto nanoseconds = static_cast<double>(std::clock() - startedAt) / CLOCKS_PER_SEC * 1e9 / rounds;
        auto name = "decision_ns." + std::to_string(targets);
        if (found == rounds && limitNs > 0)
            printAtMost(name, nanoseconds, "ns", limitNs);
        else
            printInfoLine(name, nanoseconds, "ns");
    }

    auto parse(int argumentCount, char** arguments) -> options
    {
        auto chosen = options {};
        for (auto index = 1; index + 1 < argumentCount; index += 2) {
            auto name = std::string_view(arguments[index]);
            if (name == "--schedules")
                chosen.schedules = std::strtoull(arguments[index + 1], nullptr, 10);
            else if (name == "--seed")
                chosen.seed = std::strtoull(arguments[index + 1], nullptr, 10);
            else if (name == "--vm-days")
                chosen.vmDays = std::strtod(arguments[index + 1], nullptr);
            else if (name == "--only")
                chosen.only = arguments[index + 1];
        }
        return chosen;
    }

    auto measureDeployment(const schedule_deployment& deployment, double falseEjectionLimit, const options& chosen) -> void
    {
        for (auto targets : { size_t { 18 }, size_t { 8 } }) {
            for (auto index = size_t { 0 }; index < faultKindCount; ++index) {
                auto kind = static_cast<fault_kind>(index);
                if (chosen.includes("detection") && (isTargetFault(kind) || kind == fault_kind::Drain))
                    measureDetection(deployment, kind, targets, chosen);
            }
            if (chosen.includes("ejections"))
                measureFalseEjections(deployment, targets, falseEjectionLimit, chosen);
        }
        if (chosen.includes("promises"))
            measureGuarantees(deployment, chosen.schedules / 2, chosen);
        if (!chosen.includes("overload"))
            return;
        measureOverload(deployment, chosen);
        measureVanishing(deployment, chosen);
    }

} // namespace

} // namespace gypsumhub

auto main(int argumentCount, char** arguments) -> int
{
    using namespace gypsumhub;
    auto chosen = parse(argumentCount, arguments);
    if (chosen.includes("choice")) {
        measureChoice(25, 1000);
        measureChoice(250, 0);
        measureChoice(2'500, 0);
    }
    measureDeployment(associationDeployment(), 0.5, chosen);
    measureDeployment(wroblewskiDeployment(), 0.05, chosen);
    return failures == 0 ? 0 : 1;
}
