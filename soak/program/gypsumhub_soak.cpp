#include "soak/soak_run.h"

#include <array>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <gflags/gflags.h>
#include <map>
#include <sstream>

DEFINE_string(program, "build/release/gypsumhub", "The program under test.");
DEFINE_uint64(seed, 1, "First seed.");
DEFINE_uint64(seeds, 1, "Number of seeds, run one after another.");
DEFINE_string(regressions, "", "File of seeds that failed in the past, run before the others.");
DEFINE_uint32(nodes, 4, "Number of nodes, each a process.");
DEFINE_uint32(targets, 8, "Number of targets.");
DEFINE_uint32(callers, 6, "Number of callers.");
DEFINE_uint32(events, 14, "Number of events in a run.");
DEFINE_uint32(length, 10, "Time in seconds within which events start.");
DEFINE_string(folder, "", "Folder for settings and logs of failed runs; a new folder in the system's temporary folder by default.");

DEFINE_bool(keep, false, "Print the plan and keep the node logs of every run.");

using namespace gypsumhub;

namespace {

/// A seed and the size of its run.
struct soak_case {
    uint64_t seed { 0 };
    soak_settings settings;
};

auto casesFromFlags() -> std::vector<soak_case>
{
    auto settings = soak_settings { FLAGS_nodes, FLAGS_targets, FLAGS_callers, seconds(FLAGS_length), FLAGS_events };
    auto cases = std::vector<soak_case> {};
    for (auto seed = FLAGS_seed; seed < FLAGS_seed + FLAGS_seeds; ++seed)
        cases.push_back({ seed, settings });
    return cases;
}

/// Reads lines of "SEED NODES TARGETS CALLERS SECONDS EVENTS", each after a comment on the cause. Returns false when the file or a line
/// cannot be read.
auto readRegressions(const std::string& path, std::vector<soak_case>& cases) -> bool
{
    auto file = std::ifstream(path);
    auto line = std::string {};
    auto number = 0;
    while (std::getline(file, line)) {
        ++number;
        if (line.empty() || line.front() == '#')
            continue;
        auto fields = std::istringstream(line);
        auto read = soak_case {};
        auto length = int64_t { 0 };
        fields >> read.seed >> read.settings.nodes >> read.settings.targets >> read.settings.callers >> length >> read.settings.events;
        if (!fields) {
            std::fprintf(stderr, "%s:%d: \"%s\" is not a valid case; write SEED NODES TARGETS CALLERS SECONDS EVENTS\n", path.c_str(), number, line.c_str());
            return false;
        }
        read.settings.length = seconds(length);
        cases.push_back(read);
    }
    if (number == 0)
        std::fprintf(stderr, "%s: cannot be read or is empty\n", path.c_str());
    return number > 0;
}

auto printPlan(const soak_run& run) -> void
{
    for (auto& event : run.plan())
        std::printf("    %6lld to %6lld ms  %.*s %u\n", static_cast<long long>((event.from - time_point {}).milliseconds()),
            static_cast<long long>((event.until - time_point {}).milliseconds()), static_cast<int>(nameOf(event.kind).size()), nameOf(event.kind).data(), event.subject);
}

/// Runs one case and prints its result. Returns whether every guarantee held.
auto runCase(const soak_case& soakCase, const std::string& base) -> bool
{
    auto folder = base + "/seed" + std::to_string(soakCase.seed);
    std::filesystem::create_directories(folder);
    auto run = soak_run(soakCase.settings, soakCase.seed, FLAGS_program, folder);
    if (!run.execute())
        return false;
    auto violations = findViolations(run.record(), {});
    auto byStatus = std::map<unsigned, size_t> {};
    for (auto& call : run.record().calls)
        ++byStatus[call.status];
    std::printf("seed %llu: %zu calls (", static_cast<unsigned long long>(soakCase.seed), run.record().calls.size());
    for (auto& [status, count] : byStatus)
        std::printf(" %u: %zu", status, count);
    std::printf(" ), %zu arrivals, %zu events, %s\n", run.record().arrivals.size(), run.plan().size(), violations.empty() ? "all guarantees held" : "VIOLATED");
    for (auto& line : violations)
        std::printf("  %s\n", line.c_str());
    if (violations.empty() && !FLAGS_keep)
        std::filesystem::remove_all(folder);
    else {
        printPlan(run);
        std::printf("  logs of the nodes: %s\n", folder.c_str());
    }
    std::fflush(stdout);
    return violations.empty();
}

} // namespace

auto main(int argumentCount, char** arguments) -> int
{
    gflags::SetUsageMessage("Runs seeded sequences of faults against real gateway processes and checks the requests that callers send and targets receive.");
    gflags::ParseCommandLineFlags(&argumentCount, &arguments, true);
    auto cases = std::vector<soak_case> {};
    if (!FLAGS_regressions.empty() && !readRegressions(FLAGS_regressions, cases))
        return 2;
    auto seeded = casesFromFlags();
    cases.insert(cases.end(), seeded.begin(), seeded.end());
    auto folder = FLAGS_folder;
    if (folder.empty()) {
        auto name = (std::filesystem::temp_directory_path() / "gypsumhub_soak.XXXXXX").string();
        folder = ::mkdtemp(name.data()) ? name : "";
    }
    if (folder.empty()) {
        std::fprintf(stderr, "cannot create a folder for the files of the nodes; give one with --folder\n");
        return 2;
    }
    auto failed = size_t { 0 };
    for (auto& soakCase : cases)
        failed += runCase(soakCase, folder) ? 0 : 1;
    std::printf("%zu of %zu runs violated a guarantee\n", failed, cases.size());
    return failed == 0 ? 0 : 1;
}
