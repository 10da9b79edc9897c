#include "gypsumhub/config/configuration_builder.h"

#include "fakes/faults_of.h"
#include "fakes/sample_documents.h"

#include <doctest/doctest.h>

namespace gypsumhub {

namespace {

    constexpr auto code = result_code::ConfigurationInvalid;

    auto buildFrom(const std::string& registerText, const std::string& rulesText) -> leaf::result<std::shared_ptr<const configuration>>
    {
        BOOST_LEAF_AUTO(registerDocument, parseIni(registerText, "register.ini", code));
        BOOST_LEAF_AUTO(rulesDocument, parseIni(rulesText, "rules.ini", code));
        auto builder = configuration_builder();
        return builder.addRegister(registerDocument).addRules(rulesDocument).build({ 1, {} });
    }

    auto faultsWith(const std::string& extraRegister, const std::string& extraRules) -> std::vector<fault>
    {
        return faultsOf([&] { return buildFrom(sampleRegisterText() + extraRegister, sampleRulesText() + extraRules); }).faults;
    }

} // namespace

TEST_CASE("register and rules become a configuration")
{
    auto config = sampleConfiguration();
    CHECK(config->dataCentres.at("srt-a").region == "srt");
    CHECK(config->nodes.at("hub-2").peerAddress == endpoint { "127.2.0.2", 8001 });
    auto& bookdesk = *config->services.at("bookdesk");
    REQUIRE(bookdesk.targets.size() == 2);
    CHECK(bookdesk.targets[0].address == endpoint { "127.1.0.1", 9000 });
    CHECK(bookdesk.targets[1].slots == 4);
    CHECK((bookdesk.rules.preference == ejection_preference::FastDetection));
    CHECK((bookdesk.rules.nonIdempotent[1] == non_idempotent_pattern { "PATCH", "/bookings" }));
    auto& feeledger = *config->services.at("feeledger");
    CHECK(feeledger.rules.floorPercent == 60);
    CHECK(feeledger.rules.defaultDeadline == milliseconds(2500));
    CHECK(feeledger.rules.hedging);
    CHECK(config->routes.find("/fees")->second.service == "feeledger");
    CHECK(config->routes.find("/other") == config->routes.end());
    CHECK(config->callers.find("agency-1")->second.requestsPerSecond == 50);
}

TEST_CASE("each cross check names the line and what to write")
{
    struct wrong_text {
        std::string registerText;
        std::string rulesText;
        std::string_view message;
    };
    auto wrongTexts = std::vector<wrong_text> {
        { "[vm x]\nservice = nowhere\ndata_centre = ahd-a\naddress = 127.1.1.1:1\n", "", "service 'nowhere' of x is not registered" },
        { "[vm x]\nservice = bookdesk\ndata_centre = far\naddress = 127.1.1.1:1\n", "", "data centre 'far' of x is not registered" },
        { "[vm x]\nservice = bookdesk\ndata_centre = ahd-a\naddress = localhost:1\n", "", "'localhost:1' is not an address" },
        { "[vm x]\nservice = bookdesk\ndata_centre = ahd-a\naddress = 127.1.0.1:9000\n", "", "is used by" },
        { "[vm x]\nservice = bookdesk\ndata_centre = ahd-a\naddress = 127.1.1.1:1\nslots = 0\n", "", "'0' is not usable for 'slots'" },
        { "[node x]\ndata_centre = ahd-a\naddress = 127.2.0.1:8000\npeer_address = 127.9.9.9:1\n", "", "is used by" },
        { "[node x]\naddress = 127.2.9.1:8000\npeer_address = 127.9.9.9:1\n", "", "'data_centre' is missing" },
        { "[route fees]\nservice = feeledger\n", "", "does not begin with /" },
        { "[route /x]\nservice = nowhere\n", "", "service 'nowhere'" },
        { "[caller x]\n", "", "'requests_per_second' is missing" },
        { "[data_centre x]\nregio = r\nregion = r\n", "", "key 'regio' is unknown" },
        { "[machine x]\n", "", "section [machine] is unknown" },
        { "[service]\n", "", "cannot be the name" },
        { "", "[service other]\nfloor = 70%\n", "service 'other' is not registered" },
        { "[service s]\n", "[service s]\nfloor = 101%\n", "'101%' is not a share" },
        { "[service s]\n", "[service s]\nfloor = 70\n", "'70' is not a share" },
        { "[service s]\n", "[service s]\npreference = quick\n", "'quick' is not a preference" },
        { "[service s]\n", "[service s]\nnon_idempotent = POST\n", "'POST' is not a method with a path prefix" },
        { "[service s]\n", "[service s]\nnon_idempotent =\n", "no pattern is given" },
        { "[service s]\n", "[service s]\nlinger = 30\n", "'30' is not a length of time" },
        { "[service s]\n", "[service s]\nhedging = maybe\n", "'maybe' is not usable" },
    };
    for (auto& wrong : wrongTexts) {
        INFO(wrong.message);
        auto faults = faultsWith(wrong.registerText, wrong.rulesText);
        REQUIRE(faults.size() == 1);
        CHECK(faults[0].message.find(wrong.message) != std::string::npos);
        CHECK((faults[0].code == code));
        CHECK(faults[0].line > 0);
        CHECK_FALSE(faults[0].hint.empty());
    }
}

TEST_CASE("faults of several sections are reported together")
{
    auto faults = faultsWith("[vm x]\nservice = nowhere\ndata_centre = far\naddress = here\n[caller y]\n", "[service other]\nfloor = 7\n");
    CHECK(faults.size() == 6);
}

TEST_CASE("a change shares every service that it does not touch and moves VMs")
{
    auto before = sampleConfiguration();
    auto builder = configuration_builder(before);
    auto moved = parseIni("[vm bookdesk-2]\nservice = extra\ndata_centre = srt-a\naddress = 127.1.0.2:9000\n[service extra]\n", "r", code).value();
    auto after = builder.addRegister(moved).build({ 2, {} }).value();
    CHECK(after->services.at("feeledger") == before->services.at("feeledger"));
    CHECK(after->services.at("bookdesk")->targets.size() == 1);
    CHECK(after->services.at("extra")->targets.size() == 1);
    CHECK(after->routes.sharedShards(before->routes) == decltype(after->routes)::shardCount);
    CHECK(before->services.at("bookdesk")->targets.size() == 2);
}

TEST_CASE("removing what others still need is a fault, and replacing a service by another is none")
{
    auto remove = [](auto&& prepare) {
        auto builder = configuration_builder(sampleConfiguration());
        prepare(builder);
        return faultsOf([&] { return builder.build({ 2, {} }); }).faults.size();
    };
    constexpr auto document = config_document::Register;
    CHECK(remove([](auto& builder) { builder.remove(document, "service", "bookdesk"); }) == 1);
    CHECK(remove([](auto& builder) { builder.remove(document, "data_centre", "srt-a"); }) == 3);
    CHECK(remove([](auto& builder) { builder.remove(document, "vm", "bookdesk-1"); }) == 0);
    auto replaceFeeledger = [](auto& builder) {
        builder.remove(document, "service", "feeledger").remove(document, "route", "/fees");
        for (auto vm : { "feeledger-1", "feeledger-2" })
            builder.remove(document, "vm", vm);
    };
    CHECK(remove(replaceFeeledger) == 0);
}

} // namespace gypsumhub
