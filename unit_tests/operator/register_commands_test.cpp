#include "gypsumhub/operator/register/register_request.h"

#include "fakes/fake_store.h"
#include "fakes/faults_of.h"
#include "fakes/sample_documents.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <filesystem>
#include <fstream>
#include <unistd.h>

namespace gypsumhub {

namespace {

    /// Runs commands against a fake store in virtual time, with a temporary folder for files.
    struct command_fixture {
        command_fixture()
        {
            auto pattern = (std::filesystem::temp_directory_path() / "register-commands-XXXXXX").string();
            folder = mkdtemp(pattern.data());
            run(config_document::Register, { "apply", file("register.ini", sampleRegisterText()) }).value();
            run(config_document::Rules, { "apply", file("rules.ini", sampleRulesText()) }).value();
        }

        ~command_fixture() { std::filesystem::remove_all(folder); }

        auto file(const std::string& name, const std::string& text) -> std::string
        {
            auto path = (folder / name).string();
            std::ofstream(path) << text;
            return path;
        }

        auto run(config_document document, std::vector<std::string> words, bool dryRun = false) -> leaf::result<std::string>
        {
            auto options = register_commands::settings { document, "tester" };
            options.newOperationId = [this] { return "operation-" + std::to_string(++operations); };
            auto clock = store_clock { [this] { return now; }, [this](time_point instant) { now = std::max(now, instant); } };
            auto commands = register_commands(source, options, clock);
            return runRegisterRequest({ std::move(words), dryRun, {} }, commands);
        }

        auto runRegister(std::vector<std::string> words, bool dryRun = false) -> leaf::result<std::string> { return run(config_document::Register, std::move(words), dryRun); }

        time_point now = time_point {} + seconds(1'700'000'000);
        fake_store source { now };
        std::filesystem::path folder;
        int operations { 0 };
    };

    auto contains(const std::string& text, std::string_view part) -> bool
    {
        return text.find(part) != std::string::npos;
    }

} // namespace

TEST_CASE("applying the output of show changes nothing")
{
    auto fixture = command_fixture();
    auto shown = fixture.runRegister({ "show" }).value();
    CHECK(shown.starts_with("# gypsumhub register at revision 2 "));
    CHECK(contains(shown, "[vm bookdesk-1]\naddress = 127.1.0.1:9000\n"));
    CHECK(fixture.runRegister({ "apply", fixture.file("same.ini", shown) }).value() == "nothing to change\n");
}

TEST_CASE("a dry run shows the difference and writes nothing; apply commits it")
{
    auto fixture = command_fixture();
    auto shown = fixture.runRegister({ "show" }).value();
    auto edited = shown;
    edited.replace(edited.find("requests_per_second = 50"), 24, "requests_per_second = 60");
    auto path = fixture.file("edited.ini", edited);
    auto plan = fixture.runRegister({ "apply", path }, true).value();
    CHECK(contains(plan, "[caller agency-1]\n- requests_per_second = 50\n+ requests_per_second = 60\n"));
    CHECK(contains(plan, "1 entry would change"));
    CHECK(fixture.runRegister({ "show" }).value() == shown);
    CHECK(contains(fixture.runRegister({ "apply", path }).value(), "revision 3 "));
    auto history = fixture.runRegister({ "history" }).value();
    CHECK(contains(history, "2023-11-14T22:13:20Z tester"));
    CHECK(contains(history, "edited.ini"));
    CHECK(contains(fixture.runRegister({ "rollback", "2" }).value(), "revision 4 "));
    CHECK(contains(fixture.runRegister({ "show" }).value(), "requests_per_second = 50"));
}

TEST_CASE("applying a file based on an older revision keeps the concurrent changes of others")
{
    auto fixture = command_fixture();
    auto shown = fixture.runRegister({ "show" }).value();
    fixture.runRegister({ "apply", fixture.file("theirs.ini", shown + "[caller theirs]\nrequests_per_second = 1\n") }).value();
    fixture.runRegister({ "apply", fixture.file("mine.ini", shown + "[caller mine]\nrequests_per_second = 2\n") }).value();
    auto now = fixture.runRegister({ "show" }).value();
    CHECK(contains(now, "[caller theirs]"));
    CHECK(contains(now, "[caller mine]"));
}

TEST_CASE("check reports file and line of every fault")
{
    auto fixture = command_fixture();
    auto path = fixture.file("bad.ini", "[service bookdesk]\nfloor = 700%\n[service nowhere]\n");
    auto faults = faultsOf([&] { return fixture.run(config_document::Rules, { "check", path }); }).faults;
    REQUIRE(faults.size() == 2);
    CHECK(faults[0].file == path);
    CHECK(faults[0].line == 2);
    CHECK(faults[1].line == 3);
    CHECK(contains(fixture.run(config_document::Rules, { "check", fixture.file("good.ini", sampleRulesText()) }).value(), "2 sections are valid"));
    // A register that lacks a service whose rules are in force is invalid too.
    CHECK((codeOf([&] { return fixture.runRegister({ "check", fixture.file("empty.ini", "") }); }) == result_code::ConfigurationInvalid));
}

TEST_CASE("during a store outage apply reports that no change can be accepted")
{
    auto fixture = command_fixture();
    fixture.source.state().faults.outageUntil = fixture.now + minutes(120);
    auto faults = faultsOf([&] { return fixture.runRegister({ "apply", fixture.file("r.ini", sampleRegisterText()) }); }).faults;
    REQUIRE_FALSE(faults.empty());
    CHECK((faults[0].code == result_code::StoreUnavailable));
    CHECK(contains(faults[0].message, "no change can be accepted"));
}

TEST_CASE("reinstate restores a bundle in a store that lost its revision")
{
    auto fixture = command_fixture();
    fixture.source.state().snapshot("old");
    fixture.runRegister({ "apply", fixture.file("new.ini", sampleRegisterText() + "[caller new]\nrequests_per_second = 1\n") }).value();
    auto bundle = fixture.runRegister({ "bundle" }).value();
    fixture.source.state().restore("old");
    CHECK(contains(fixture.runRegister({ "reinstate", fixture.file("bundle.json", bundle) }).value(), "revision 3"));
    CHECK(contains(fixture.runRegister({ "show" }).value(), "[caller new]"));
    bundle[bundle.size() / 2] ^= 1;
    CHECK((codeOf([&] { return fixture.runRegister({ "reinstate", fixture.file("bundle.json", bundle) }); }) == result_code::ConfigurationInvalid));
}

TEST_CASE("invalid command lines are usage errors")
{
    auto fixture = command_fixture();
    for (auto& words : std::vector<std::vector<std::string>> { {}, { "shout" }, { "show", "x" }, { "apply" }, { "rollback", "x" }, { "history", "0" }, { "rollback", "-1" } })
        CHECK((codeOf([&] { return fixture.runRegister(words); }) == result_code::UsageError));
    CHECK((codeOf([&] { return fixture.runRegister({ "apply", "/nonexistent" }); }) == result_code::FileUnreadable));
    CHECK((codeOf([&] { return runRegisterRequest({ { "show" }, false, "store:1" }, register_commands::settings {}); }) == result_code::UsageError));
    CHECK((codeOf([&] { return runRegisterRequest({ { "show" }, false, "" }, register_commands::settings {}); }) == result_code::UsageError));
}

} // namespace gypsumhub
