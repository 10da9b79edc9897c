// Measures the configuration at full size: `name value unit target pass|fail`, or `info` for a figure without a target.
// Usage: measure_config

#include "fakes/fake_store.h"
#include "fakes/sample_revisions.h"
#include "gypsumhub/config/config_revision.h"
#include "gypsumhub/config/revision_codec.h"
#include "gypsumhub/config/revision_transfer.h"
#include "gypsumhub/core/clock.h"
#include "gypsumhub/store/configuration_loader.h"
#include "gypsumhub/store/configuration_writer.h"

#include <algorithm>
#include <cstdio>
#include <ctime>
#include <fstream>
#include <malloc.h>
#include <string>
#include <vector>

namespace gypsumhub {

namespace {

    constexpr auto changesPerDay = 3100.0;
    constexpr auto secondsPerDay = 86'400.0;
    constexpr auto bytesPerMegabyte = 1024.0 * 1024.0;
    /// Numbers of entries in a configuration of full size.
    constexpr auto dataCentreCount = 5;
    constexpr auto serviceCount = 1500;
    constexpr auto vmCount = 37'000;
    constexpr auto nodeCount = 3600;
    constexpr auto routeCount = 47'000;
    constexpr auto callerCount = 340'000;

    auto failures = 0;

    auto printInfo(const std::string& name, double value, const char* unit) -> void
    {
        std::printf("%s %.4g %s none info\n", name.c_str(), value, unit);
        std::fflush(stdout);
    }

    auto printAtMost(const std::string& name, double value, const char* unit, double target) -> void
    {
        failures += value > target;
        std::printf("%s %.4g %s <=%g %s\n", name.c_str(), value, unit, target, value <= target ? "pass" : "fail");
        std::fflush(stdout);
    }

    auto cpuSeconds() -> double
    {
        auto value = timespec {};
        clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &value);
        return static_cast<double>(value.tv_sec) + static_cast<double>(value.tv_nsec) * 1e-9;
    }

    auto heapMegabytes() -> double
    {
        auto info = mallinfo2();
        return static_cast<double>(info.uordblks + info.hblkhd) / bytesPerMegabyte;
    }

    /// The value of a field of /proc/self/status in megabytes.
    auto statusMegabytes(const std::string& field) -> double
    {
        auto stream = std::ifstream("/proc/self/status");
        auto name = std::string {};
        auto rest = std::string {};
        while (stream >> name && std::getline(stream, rest)) {
            if (name == field + ":")
                return std::stod(rest) / 1024.0;
        }
        return 0;
    }

    /// Resets VmHWM to the current resident size.
    auto resetPeak() -> void
    {
        std::ofstream("/proc/self/clear_refs") << "5";
    }

    auto address(const char* net, int index, int port) -> std::string
    {
        return std::string(net) + std::to_string(index / 62'500) + '.' + std::to_string(index / 250 % 250) + '.' + std::to_string(index % 250 + 1) + ':' + std::to_string(port);
    }

    auto scaled(int count, double fraction) -> int
    {
        return static_cast<int>(count * fraction);
    }

    /// The entries of a configuration with `fraction` of the full size.
    auto makeEntries(double fraction) -> std::vector<entry_change>
    {
        auto entries = std::vector<entry_change> {};
        auto dataCentre = [](int index) { return "dc-" + std::to_string(index % dataCentreCount); };
        auto services = scaled(serviceCount, fraction);
        auto service = [&](int index) { return "service-" + std::to_string(index % services); };
        for (auto index = 0; index < dataCentreCount; ++index)
            entries.push_back({ "register/data_centre dc-" + std::to_string(index), "region = region-" + std::to_string(index % 2) + '\n' });
        for (auto index = 0; index < services; ++index) {
            entries.push_back({ "register/service " + service(index), "" });
            entries.push_back({ "rules/service " + service(index), "floor = 70%\nnon_idempotent = POST /, PATCH /\npreference = balanced\n" });
        }
        for (auto index = 0; index < scaled(vmCount, fraction); ++index)
            entries.push_back({ "register/vm " + service(index) + "-vm-" + std::to_string(index),
                "address = " + address("10.", index, 9000) + "\ndata_centre = " + dataCentre(index) + "\nservice = " + service(index) + "\nslots = 4\n" });
        for (auto index = 0; index < scaled(nodeCount, fraction); ++index)
            entries.push_back({ "register/node hub-" + std::to_string(index),
                "address = " + address("11.", index, 8000) + "\ndata_centre = " + dataCentre(index) + "\npeer_address = " + address("11.", index, 8001) + '\n' });
        for (auto index = 0; index < scaled(routeCount, fraction); ++index)
            entries.push_back({ "register/route /customers/area-" + std::to_string(index), "service = " + service(index) + '\n' });
        for (auto index = 0; index < scaled(callerCount, fraction); ++index)
            entries.push_back(callerChange("customer-" + std::to_string(1'000'000 + index), 10));
        std::ranges::sort(entries, {}, &entry_change::key);
        return entries;
    }

    auto nameOf(double fraction) -> std::string
    {
        return "_at_" + std::to_string(static_cast<int>(fraction * 100)) + "_percent";
    }

    /// A revision and the configuration built from it.
    struct loaded_state {
        std::shared_ptr<const config_revision> revision;
        std::shared_ptr<const configuration> config;
    };

    auto measureLoad(double fraction) -> loaded_state
    {
        auto state = loaded_state {};
        {
            auto entries = makeEntries(fraction);
            state.revision = makeRevision(nullptr, entries, sampleOrigin("import")).value();
        }
        malloc_trim(0);
        auto heapBefore = heapMegabytes();
        resetPeak();
        auto begin = cpuSeconds();
        state.config = buildConfiguration(*state.revision).value();
        auto isFullSize = fraction == 1.0;
        auto buildSeconds = cpuSeconds() - begin;
        if (isFullSize)
            printAtMost("config_build_rss_peak_mb", statusMegabytes("VmHWM"), "MB", 256);
        malloc_trim(0);
        auto chunkMegabytes = static_cast<double>(state.revision->chunkBytes()) / bytesPerMegabyte;
        if (isFullSize)
            printAtMost("config_build_cpu_s", buildSeconds, "s", 10);
        else
            printInfo("config_build_cpu_s" + nameOf(fraction), buildSeconds, "s");
        printInfo("config_heap_mb" + (isFullSize ? "" : nameOf(fraction)), heapMegabytes() - heapBefore, "MB");
        printInfo("config_stored_mb" + (isFullSize ? "" : nameOf(fraction)), chunkMegabytes, "MB");
        return state;
    }

    auto measureChunks(const config_revision& revision) -> void
    {
        auto largest = std::ranges::max(revision.chunks, {}, [](auto& chunk) { return chunk->size(); })->size();
        printInfo("config_chunks", static_cast<double>(revision.chunks.size()), "chunks");
        printAtMost("config_chunk_bytes_max", static_cast<double>(largest), "bytes", 512 * 1024);
        printAtMost("config_manifest_bytes", static_cast<double>(encodeManifest(revision.manifest).size()), "bytes", 512 * 1024);
        auto parts = revision_parts(std::make_shared<config_revision>(revision), {});
        auto bytes = size_t { 0 };
        for (auto index = uint32_t { 0 }; index < parts.count(); ++index)
            bytes += parts.part(index).size();
        printInfo("config_whole_transfer_mb", static_cast<double>(bytes) / bytesPerMegabyte, "MB");
    }

    /// Record bytes and processor time of one change on a node.
    struct change_cost {
        double bytes { 0 };
        double cpuSeconds { 0 };
    };

    /// Measures the cost of a change on a node: applying the record and building the next configuration while the old one is kept.
    auto measureChangesOf(loaded_state& state, loaded_state& old, entry_change (*changeOf)(int round)) -> change_cost
    {
        constexpr auto rounds = 50;
        auto cost = change_cost {};
        for (auto round = 0; round < rounds; ++round) {
            auto changes = std::vector { changeOf(round) };
            auto published = makeRevision(state.revision, changes, sampleOrigin(std::to_string(state.revision->id.number))).value();
            auto record = decodeRecord(published->recent.back()->bytes).value();
            published.reset();
            auto begin = cpuSeconds();
            auto next = applyRecord(state.revision, record).value();
            auto config = updateConfiguration(state.config, next->id, *record.delta).value();
            cost.cpuSeconds += (cpuSeconds() - begin) / rounds;
            cost.bytes += static_cast<double>(record.bytes.size()) / rounds;
            old = std::exchange(state, { std::move(next), std::move(config) });
        }
        return cost;
    }

    auto changedCaller(int round) -> entry_change
    {
        return callerChange("customer-" + std::to_string(1'000'000 + round * 31), 20);
    }

    auto changedVm(int round) -> entry_change
    {
        auto service = "service-" + std::to_string(round % serviceCount);
        return { "register/vm " + service + "-vm-" + std::to_string(round),
            "address = " + address("12.", round, 9000) + "\ndata_centre = dc-0\nservice = " + service + "\nslots = 4\n" };
    }

    auto printChange(const std::string& name, const change_cost& cost) -> void
    {
        printAtMost("config_" + name + "_change_cpu_ms", cost.cpuSeconds * 1000, "ms", 75);
        printAtMost("config_" + name + "_change_core_percent", cost.cpuSeconds * changesPerDay / secondsPerDay * 100, "%", 0.27);
        printInfo("config_" + name + "_change_bytes", cost.bytes, "bytes");
        printInfo("config_" + name + "_change_bytes_per_second_and_peer", cost.bytes * changesPerDay / secondsPerDay, "B/s");
    }

    auto measureChanges(loaded_state& state) -> void
    {
        auto old = state;
        printChange("caller", measureChangesOf(state, old, changedCaller));
        printChange("vm", measureChangesOf(state, old, changedVm));
        malloc_trim(0);
        printAtMost("config_memory_two_revisions_mb", heapMegabytes(), "MB", 256);
        auto begin = heapMegabytes();
        old = {};
        malloc_trim(0);
        printInfo("config_memory_of_old_revision_mb", begin - heapMegabytes(), "MB");
        printInfo("config_rss_mb", statusMegabytes("VmRSS"), "MB");
    }

    /// Measures the store calls of a cold load and of one operator's change with a fake store.
    auto measureStore(const std::shared_ptr<const config_revision>& revision) -> void
    {
        auto now = wallClockNow();
        auto source = fake_store(now);
        auto clock = store_clock { [&] { return now; }, [&](time_point instant) { now = std::max(now, instant); } };
        auto publisher = revision_publisher(source, clock);
        for (auto index = size_t { 0 }; index < revision->chunks.size(); ++index)
            (void)source.compareAndSwap("gypsumhub/chunk/" + toHex(revision->manifest.chunks[index].hash) + '.' + revision->manifest.chunks[index].tag, 0, *revision->chunks[index], now + seconds(5));
        (void)publisher.overwrite(*revision, now + seconds(60));

        auto loader = configuration_loader(source);
        auto before = source.state().counts;
        auto current = loader.load(nullptr, now + seconds(60)).value();
        printInfo("config_cold_load_store_calls", static_cast<double>(source.state().counts.total() - before.total()), "calls");

        // More rounds than kept revisions, so that old revisions are removed.
        constexpr auto rounds = 12;
        constexpr auto keptRevisions = 4;
        auto calls = uint64_t { 0 };
        for (auto round = 0; round < rounds; ++round) {
            auto head = loader.readHead(now + seconds(5)).value();
            auto next = withCaller(current, "customer-" + std::to_string(1'200'000 + round), 30);
            before = source.state().counts;
            (void)publisher.publish(*next, head, now + seconds(5)).value();
            (void)publisher.removeOldRevisions(next->header, keptRevisions, now + seconds(5));
            calls = source.state().counts.total() - before.total();
            current = std::move(next);
        }
        printAtMost("config_change_store_calls", static_cast<double>(calls), "calls", 20);
        printInfo("config_change_store_calls_per_second", static_cast<double>(calls) * changesPerDay / secondsPerDay, "calls/s");
        // One chunk, the manifest and the record of a stored revision.
        printInfo("config_store_bytes_per_kept_revision", static_cast<double>(current->chunks.front()->size() + encodeManifest(current->manifest).size() + current->recent.back()->bytes.size()), "bytes");
    }

    auto run() -> int
    {
        for (auto fraction : { 0.25, 0.5 })
            measureLoad(fraction);
        malloc_trim(0);
        auto state = measureLoad(1.0);
        measureChunks(*state.revision);
        measureChanges(state);
        measureStore(state.revision);
        return failures == 0 ? 0 : 1;
    }

} // namespace

} // namespace gypsumhub

auto main() -> int
{
    return gypsumhub::run();
}
