#include "gypsumhub/operator/replay/replay.h"
#include "gypsumhub/operator/replay/trace_reader.h"

#include <doctest/doctest.h>
#include <filesystem>
#include <fstream>
#include <set>
#include <sstream>

namespace gypsumhub {

namespace {

    // Replays one trace and returns the text of its faults, empty without faults.
    auto replayFaults(const std::string& path, std::ostream& output) -> std::string
    {
        auto faults = std::string {};
        leaf::try_handle_all(
            [&]() -> leaf::result<void> { return runReplay(path, output); },
            [&](const fault_list& list) {
                for (auto& entry : list.faults)
                    faults += toString(entry) + "\n";
            },
            [&] { faults = "unknown error"; });
        return faults;
    }

    // Traces listed in KNOWN-RED.txt show known faults that are not fixed yet. They are printed and not counted as failures.
    auto isKnownRed(const std::string& path) -> bool
    {
        auto stream = std::ifstream("KNOWN-RED.txt");
        auto line = std::string {};
        while (std::getline(stream, line)) {
            if (line.find(path) != std::string::npos)
                return true;
        }
        return false;
    }

    auto parseFaults(std::string_view text) -> std::vector<fault>
    {
        auto faults = std::vector<fault> {};
        leaf::try_handle_all(
            [&]() -> leaf::result<void> {
                BOOST_LEAF_CHECK(parseTrace(text, "trace"));
                return {};
            },
            [&](const fault_list& list) { faults = list.faults; },
            [] {});
        return faults;
    }

    constexpr auto header = R"({"trace":1,"until":1,"dataCentres":[{"name":"a","region":"r"}],"nodes":[{"name":"n","dataCentre":"a"}],)"
                            R"("services":[{"name":"s","targets":[{"name":"vm1","dataCentre":"a"}]}]})";

} // namespace

TEST_CASE("every trace in replay/traces reaches its expected outcomes")
{
    auto paths = std::set<std::string> {};
    for (auto& entry : std::filesystem::directory_iterator("replay/traces"))
        paths.insert(entry.path().string());
    REQUIRE(paths.size() >= 20);
    for (auto& path : paths) {
        auto output = std::ostringstream {};
        auto faults = replayFaults(path, output);
        INFO(path << "\n"
                  << output.str());
        if (isKnownRed(path))
            MESSAGE("known red: " << path << (faults.empty() ? " passes now, remove it from KNOWN-RED.txt" : "\n" + faults));
        else
            CHECK(faults == "");
    }
}

TEST_CASE("repeated replays of a trace print the same output")
{
    auto first = std::ostringstream {};
    auto second = std::ostringstream {};
    replayFaults("replay/traces/two_at_once.jsonl", first);
    replayFaults("replay/traces/two_at_once.jsonl", second);
    CHECK(first.str() == second.str());
}

TEST_CASE("a missed outcome is reported with its line")
{
    auto text = std::string(header) + "\n" + R"({"expect":"ejected-by","target":"vm1","at":1})" + "\n";
    auto path = (std::filesystem::temp_directory_path() / "gypsumhub_missed_outcome.jsonl").string();
    {
        auto stream = std::ofstream(path);
        stream << text;
    }
    auto output = std::ostringstream {};
    auto faults = replayFaults(path, output);
    std::filesystem::remove(path);
    CHECK(faults.find("missed_outcome.jsonl:2: ejected-by vm1") != std::string::npos);
    CHECK(output.str().find("MISSED  ejected-by vm1") != std::string::npos);
}

TEST_CASE("an invalid trace is rejected with every fault and its line")
{
    auto text = std::string(header) + "\n" + R"({"event":"attempt","target":"vm9","result":"fine","at":1})" + "\nnonsense\n"
        + R"({"expect":"ejected","target":"vm1"})" + "\n" + R"({"event":"fault","at":0,"speed":1})" + "\n";
    auto faults = parseFaults(text);
    auto lines = std::multiset<uint32_t> {};
    for (auto& entry : faults) {
        CHECK((entry.code == result_code::TraceInvalid));
        lines.insert(entry.line);
    }
    CHECK(lines == std::multiset<uint32_t> { 2, 2, 3, 4, 5 });
    CHECK(parseFaults("").size() == 1);
    CHECK(parseFaults("{\"trace\":2}").size() >= 1);
}

} // namespace gypsumhub
