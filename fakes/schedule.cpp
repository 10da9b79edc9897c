#include "fakes/schedule.h"

#include "gypsumhub/core/hash.h"
#include "gypsumhub/decision/serving_group.h"

#include <algorithm>
#include <array>

namespace gypsumhub {

namespace {

    constexpr auto dataCentreNames = std::to_array<std::string_view>({ "east-a", "east-b", "west-a", "west-b" });
    constexpr auto withinDataCentre = microseconds(250);
    constexpr auto firstFaultAt = seconds(4);
    constexpr auto randomScheduleEnd = seconds(24);

} // namespace

auto associationDeployment() -> schedule_deployment
{
    return { "association", 4, microseconds(1500), milliseconds(12), milliseconds(3), ejection_preference::FastDetection };
}

auto wroblewskiDeployment() -> schedule_deployment
{
    return { "wroblewski", 3, milliseconds(1), milliseconds(12), milliseconds(8), ejection_preference::FewFalseEjections };
}

auto toString(fault_kind kind) -> std::string_view
{
    constexpr auto names = std::to_array<std::string_view>({ "slow", "errors", "half_errors", "wrong_answers", "cut_answers", "silent",
        "hang_after_header", "flapping", "asymmetric_path", "dead_connections", "cold_start", "drain", "whole_service_slow", "vanished" });
    static_assert(names.size() == faultKindCount);
    return names[static_cast<size_t>(kind)];
}

auto isTargetFault(fault_kind kind) -> bool
{
    return kind < fault_kind::AsymmetricPath || kind == fault_kind::Vanished;
}

auto rateAt(const schedule& plan, time_point now) -> double
{
    auto rate = 0.0;
    for (auto& load : plan.loads) {
        if (load.from <= now)
            rate = load.requestsPerSecond;
    }
    return rate;
}

auto makeRandomSchedule(const schedule_deployment& deployment, uint64_t seed) -> schedule
{
    auto random = random_generator(seed);
    auto result = schedule {};
    result.deployment = deployment;
    result.targets = random.below(4) == 0 ? 18 : 8;
    result.floorPercent = static_cast<uint32_t>(50 + 10 * random.below(5));
    result.seed = random();
    result.until = time_point {} + randomScheduleEnd;
    result.callersRetry = random.below(2) == 0;
    // Requests per second per target, from low traffic to about the capacity.
    auto ratePerTarget = std::array { 1.0, 3.0, 5.0, 15.0, 60.0 }[random.below(5)];
    result.loads.push_back({ {}, ratePerTarget * static_cast<double>(result.targets) });
    auto faults = 2 + random.below(4);
    for (auto index = uint64_t { 0 }; index < faults; ++index) {
        auto from = time_point {} + firstFaultAt + milliseconds(static_cast<int64_t>(random.below(10'000)));
        auto length = milliseconds(static_cast<int64_t>(1'000 + random.below(12'000)));
        auto kind = static_cast<fault_kind>(random.below(faultKindCount));
        result.faults.push_back({ kind, random.below(result.targets), from, from + length });
    }
    return result;
}

auto nodesPerDataCentre(const schedule& plan) -> size_t
{
    auto slots = static_cast<uint32_t>(plan.targets) * plan.deployment.slots;
    return membersPerDataCentre(slots, dataCentreNames.size(), static_cast<uint32_t>(plan.membersPerDataCentre));
}

auto makeConfiguration(const schedule& plan) -> std::shared_ptr<const configuration>
{
    auto config = std::make_shared<configuration>();
    config->revision.number = 1;
    for (auto index = size_t { 0 }; index < dataCentreNames.size(); ++index) {
        auto name = std::string(dataCentreNames[index]);
        config->dataCentres[name] = { name, index < 2 ? "east" : "west" };
    }
    auto service = std::make_shared<service_spec>();
    service->name = "bookdesk";
    service->key = { hashName(service->name) };
    service->rules.floorPercent = plan.floorPercent;
    service->rules.preference = plan.deployment.preference;
    for (auto index = size_t { 0 }; index < plan.targets; ++index) {
        auto name = "vm" + std::to_string(100 + index);
        auto address = endpoint { "127.0.1." + std::to_string(index + 1), 8080 };
        service->targets.push_back({ name, { hashName(name) }, address, std::string(dataCentreNames[dataCentreOf(index)]), plan.deployment.slots });
    }
    config->services[service->name] = service;
    for (auto index = size_t { 0 }; index < nodesPerDataCentre(plan) * dataCentreNames.size(); ++index) {
        auto name = "node" + std::to_string(100 + index);
        config->nodes[name] = { .name = name, .key = { hashName(name) }, .dataCentre = std::string(dataCentreNames[dataCentreOf(index)]) };
    }
    return config;
}

auto delayBetween(const schedule_deployment& deployment, size_t dataCentre, size_t other) -> duration
{
    if (dataCentre == other)
        return withinDataCentre;
    return dataCentre / 2 == other / 2 ? deployment.betweenDataCentres : deployment.betweenRegions;
}

} // namespace gypsumhub
