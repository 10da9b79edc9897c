// Measures the control traffic of the fleet in virtual time, one line per figure: `name value unit target pass|fail`.
// Usage: measure_fleet [LARGEST]   LARGEST is the size of the largest fleet, 3600 unless given.

#include "fakes/fake_network_fleet.h"
#include "gypsumhub/fleet/evidence_sender.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <fstream>
#include <string>
#include <unistd.h>
#include <vector>

namespace gypsumhub {

namespace {

    constexpr auto lossRate = 0.01;
    constexpr auto largeFleet = uint32_t { 3600 };

    auto processorSeconds() -> double
    {
        auto value = timespec {};
        clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &value);
        return static_cast<double>(value.tv_sec) + static_cast<double>(value.tv_nsec) * 1e-9;
    }

    auto residentBytes() -> double
    {
        auto pages = std::ifstream("/proc/self/statm");
        auto total = 0.0;
        auto resident = 0.0;
        pages >> total >> resident;
        return resident * static_cast<double>(sysconf(_SC_PAGESIZE));
    }

    // A negative target means that the figure has no target.
    auto print(const std::string& name, double value, const char* unit, double target) -> void
    {
        if (target < 0)
            std::printf("%s %.4g %s none info\n", name.c_str(), value, unit);
        else
            std::printf("%s %.4g %s %.4g %s\n", name.c_str(), value, unit, target, value <= target ? "pass" : "fail");
        std::fflush(stdout);
    }

    auto settingsFor(uint32_t nodes) -> fake_network_fleet::settings
    {
        auto settings = fake_network_fleet::settings {};
        settings.dataCentres = nodes > 100 ? 5 : nodes >= 20 ? 4
                                                             : 2;
        settings.perDataCentre = static_cast<uint16_t>(nodes / settings.dataCentres);
        settings.loss = lossRate;
        settings.seed = nodes;
        return settings;
    }

    /// Figures of one fleet size.
    struct fleet_size_result {
        uint32_t nodes { 0 };
        double inForceMs { 0 };
        double bytesPerSecond { 0 };
        double otherRegionBytesPerSecond { 0 };
        double storeCallsPerSecond { 0 };
        double corePercent { 0 };
        double memoryMb { 0 };
    };

    // The longest time until a change is in force on all nodes, over several changes.
    auto measureInForce(fake_network_fleet& fleet, uint32_t changes) -> double
    {
        auto worst = duration {};
        for (auto change = uint32_t { 0 }; change < changes; ++change) {
            auto publishedAt = fleet.network.now();
            auto revision = fleet.publish();
            auto inForce = fleet.runUntilAllAt(revision, publishedAt + seconds(60));
            worst = std::max(worst, (inForce == never ? publishedAt + seconds(60) : inForce) - publishedAt);
            fleet.network.runUntil(publishedAt + seconds(28));
        }
        return static_cast<double>(worst.milliseconds());
    }

    // Runs the expected rate of changes (one every 28 s) and of restarts (11,000 per day at 3,600 nodes).
    auto runNormalLoad(fake_network_fleet& fleet, duration length) -> void
    {
        auto random = random_generator(7);
        auto restartsPerSecond = 11'000.0 / 86'400 * static_cast<double>(fleet.nodes.size()) / largeFleet;
        auto end = fleet.network.now() + length;
        auto incarnation = uint64_t { 1'000'000'000'000 };
        for (auto second = 0; fleet.network.now() < end; ++second) {
            if (second % 28 == 0)
                fleet.publish();
            if (random.unit() < restartsPerSecond) {
                auto key = fleet.nodes[random.below(fleet.nodes.size())].key;
                fleet.ends[key]->node.announceShutdown(fleet.network.now());
                fleet.network.runFor(milliseconds(500));
                incarnation += 1'000'000'000;
                fleet.start(key, incarnation, fleet.firstRevision);
            }
            fleet.network.runFor(seconds(1));
        }
    }

    auto measureSize(uint32_t nodes, uint32_t changes) -> fleet_size_result
    {
        auto figures = fleet_size_result { nodes };
        auto memoryBefore = residentBytes();
        auto fleet = fake_network_fleet(settingsFor(nodes));
        fleet.network.runFor(seconds(30));
        figures.memoryMb = (residentBytes() - memoryBefore) / nodes / 1e6;
        figures.inForceMs = measureInForce(fleet, changes);

        // Processor time is measured first, because counting bytes encodes every message again and
        // would be charged to the nodes.
        constexpr auto measuredTime = seconds(60);
        auto cpuBefore = processorSeconds();
        auto from = fleet.network.now();
        runNormalLoad(fleet, measuredTime);
        figures.corePercent = 100 * (processorSeconds() - cpuBefore) / (fleet.network.now() - from).seconds() / nodes;

        fleet.network.measureBytes([&](node_key a, node_key b) { return fleet.distance(a, b); });
        auto callsBefore = fleet.storeCalls;
        from = fleet.network.now();
        runNormalLoad(fleet, measuredTime);
        auto elapsed = (fleet.network.now() - from).seconds();
        auto& meter = fleet.network.meter();
        auto otherRegionBytes = meter.overheadBytes(peer_distance::OtherRegion);
        for (auto kind = std::size_t { 0 }; kind < peerMessageKindCount; ++kind)
            otherRegionBytes += meter.bytes(kind, peer_distance::OtherRegion);
        figures.bytesPerSecond = static_cast<double>(meter.totalBytes()) / elapsed / nodes;
        figures.otherRegionBytesPerSecond = static_cast<double>(otherRegionBytes) / elapsed;
        figures.storeCallsPerSecond = static_cast<double>(fleet.storeCalls - callsBefore) / elapsed;
        return figures;
    }

    auto printSize(const fleet_size_result& figures) -> void
    {
        auto suffix = "_" + std::to_string(figures.nodes);
        print("config_in_force_ms_max" + suffix, figures.inForceMs, "ms", figures.nodes <= 100 ? 5000 : 17000);
        print("control_bytes_per_second" + suffix, figures.bytesPerSecond, "B/s", 3072);
        print("region_link_bytes_per_second" + suffix, figures.otherRegionBytesPerSecond, "B/s", -1);
        print("store_calls_per_second" + suffix, figures.storeCallsPerSecond, "1/s", 5);
        print("control_core_percent" + suffix, figures.corePercent, "%", 2.7);
        print("control_memory_mb" + suffix, figures.memoryMb, "MB", 256);
    }

    // Growth per node between two fleet sizes.
    auto slope(const fleet_size_result& a, const fleet_size_result& b, double fleet_size_result::*figure) -> double
    {
        return (b.*figure - a.*figure) / (static_cast<double>(b.nodes) - static_cast<double>(a.nodes));
    }

    auto printSlopes(const fleet_size_result& a, const fleet_size_result& b) -> void
    {
        auto range = "_slope_" + std::to_string(a.nodes) + "_" + std::to_string(b.nodes);
        print("control_bytes_per_second" + range, slope(a, b, &fleet_size_result::bytesPerSecond), "B/s/node", -1);
        print("store_calls_per_second" + range, slope(a, b, &fleet_size_result::storeCallsPerSecond), "1/s/node", -1);
        print("control_core_percent" + range, slope(a, b, &fleet_size_result::corePercent), "%/node", -1);
        print("control_memory_mb" + range, slope(a, b, &fleet_size_result::memoryMb), "MB/node", -1);
        print("config_in_force_ms_max" + range, slope(a, b, &fleet_size_result::inForceMs), "ms/node", -1);
    }

    // Whether every running node has removed the dead one from its members.
    auto allRemoved(const fake_network_fleet& fleet, node_key dead) -> bool
    {
        return std::ranges::none_of(
            fleet.ends, [&](auto& entry) { return entry.second && std::ranges::binary_search(entry.second->alive, dead); });
    }

    auto measureDetection(uint32_t nodes, int deaths) -> void
    {
        auto fleet = fake_network_fleet(settingsFor(nodes));
        fleet.network.runFor(seconds(20));
        auto times = std::vector<double> {};
        auto random = random_generator(3);
        for (auto round = 0; round < deaths; ++round) {
            auto key = fleet.nodes[random.below(fleet.nodes.size())].key;
            if (!fleet.ends[key])
                continue;
            auto killedAt = fleet.network.now();
            fleet.kill(key);
            while (!allRemoved(fleet, key) && fleet.network.now() < killedAt + seconds(60))
                fleet.network.runFor(milliseconds(50));
            times.push_back(static_cast<double>((fleet.network.now() - killedAt).milliseconds()));
        }
        std::ranges::sort(times);
        auto suffix = "_" + std::to_string(nodes);
        print("dead_node_known_to_all_ms_median" + suffix, times[times.size() / 2], "ms", -1);
        print("dead_node_known_to_all_ms_max" + suffix, times.back(), "ms", -1);
    }

    auto measureFalseSuspicions(uint32_t nodes, duration length) -> void
    {
        auto fleet = fake_network_fleet(settingsFor(nodes));
        fleet.network.runFor(length);
        auto suspicions = uint64_t { 0 };
        auto deaths = uint64_t { 0 };
        for (auto& [key, end] : fleet.ends) {
            suspicions += end->node.members().counts().suspicions;
            deaths += end->node.members().counts().deaths;
        }
        auto nodeDays = length.seconds() / 86'400 * nodes;
        print("false_suspicions_per_node_day_" + std::to_string(nodes), static_cast<double>(suspicions) / nodeDays, "1/day", -1);
        print("false_deaths_per_node_day_" + std::to_string(nodes), static_cast<double>(deaths) / nodeDays, "1/day", 0);
    }

    /// A node for the evidence measurement. It only sends and receives evidence.
    class evidence_node final : public fake_network_node, public membership_listener {
    public:
        evidence_node(fake_network& network, node_key self, const std::vector<registered_node>& nodes)
            : view({ self }, network.senderOf(self), *this)
            , sender({ self }, view, network.senderOf(self))
        {
            view.setNodes(nodes, {});
            network.setNode(self, this);
        }

        auto onTick(time_point now) -> void override { sender.tick(now); }
        auto onMessage(node_key from, peer_message message, time_point) -> void override
        {
            if (auto* found = std::get_if<evidence_message>(&message))
                sender.handle(from, *found);
        }
        auto onMembershipChange() -> void override { }
        auto onPeerReplaced(node_key) -> void override { }

        membership view;
        evidence_sender sender;
    };

    // Three nodes in each of five data centres serve `services` services. Every node adds evidence about one target of each service
    // every five seconds, which is many times the rate of a day with 63 failures.
    auto measureEvidence(uint32_t services) -> double
    {
        auto network = fake_network(services);
        auto nodes = std::vector<registered_node> {};
        auto group = std::vector<node_key> {};
        for (auto key = uint64_t { 1 }; key <= 15; ++key) {
            auto dataCentre = static_cast<uint16_t>((key - 1) / 3);
            nodes.push_back({ { key }, dataCentre, static_cast<uint16_t>(dataCentre < 3 ? 0 : 1) });
            group.push_back({ key });
        }
        auto ends = std::vector<std::unique_ptr<evidence_node>> {};
        for (auto key : group)
            ends.push_back(std::make_unique<evidence_node>(network, key, nodes));
        network.runFor(seconds(1));
        network.measureBytes([&](node_key a, node_key b) { return distanceBetween(nodes[a.value - 1], nodes[b.value - 1]); });
        constexpr auto length = seconds(300);
        constexpr auto slots = uint64_t { 50 };
        auto from = network.now();
        for (auto step = uint64_t { 0 }; network.now() < from + length; ++step) {
            for (auto& end : ends) {
                auto self = static_cast<uint64_t>(&end - ends.data());
                for (auto service = uint64_t { 1 }; service <= services; ++service) {
                    // Spread over five seconds, so that evidence of different services rarely shares a batch.
                    if ((step + self * 7 + service * 13) % slots != 0)
                        continue;
                    auto item = evidence { { service }, { service }, health_state::Demoted, static_cast<int32_t>(step) };
                    end->sender.add({ group, { item } }, network.now());
                }
            }
            network.runFor(milliseconds(100));
        }
        return static_cast<double>(network.meter().totalBytes()) / length.seconds() / static_cast<double>(group.size());
    }

    auto measureEvidenceAgainstServices() -> void
    {
        auto first = 0.0;
        auto last = 0.0;
        for (auto services : { 1U, 6U, 24U }) {
            last = measureEvidence(services);
            first = services == 1 ? last : first;
            print("evidence_bytes_per_second_services_" + std::to_string(services), last, "B/s", 3072);
        }
        print("evidence_bytes_per_second_slope_services_1_24", (last - first) / 23, "B/s/service", -1);
    }

    auto measureFleet(uint32_t largest) -> void
    {
        auto figures = std::vector<fleet_size_result> {};
        for (auto nodes : { 10U, 20U, 40U, 100U, 400U, 3600U }) {
            if (nodes > largest)
                continue;
            figures.push_back(measureSize(nodes, nodes > 400 ? 3 : 20));
            printSize(figures.back());
        }
        if (figures.size() > 1) {
            printSlopes(figures.front(), figures[figures.size() - 2]);
            printSlopes(figures[figures.size() - 2], figures.back());
        }
        measureDetection(40, 20);
        if (largest >= 400)
            measureDetection(400, 10);
        measureFalseSuspicions(40, minutes(24 * 60));
        measureEvidenceAgainstServices();
    }

} // namespace

} // namespace gypsumhub

auto main(int count, char** arguments) -> int
{
    auto largest = count > 1 ? static_cast<uint32_t>(std::strtoul(arguments[1], nullptr, 10)) : 3600U;
    gypsumhub::measureFleet(largest);
    return 0;
}
