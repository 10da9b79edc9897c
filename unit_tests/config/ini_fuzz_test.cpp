#include "fakes/faults_of.h"
#include "fakes/sample_documents.h"
#include "gypsumhub/config/configuration_builder.h"
#include "gypsumhub/config/node_settings_reader.h"
#include "gypsumhub/config/revision_codec.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>
#include <string>
#include <vector>

namespace gypsumhub {

namespace {

    constexpr auto code = result_code::ConfigurationInvalid;

    /// Random text from INI fragments, which often passes the first checks.
    auto arbitraryIni() -> rc::Gen<std::string>
    {
        auto words = std::vector<std::string> { "[vm x]\n", "[service s]\n", "[node]\n", "[route /r]\n", "[data_centre d]\n", "[caller c]\n", "[limits]\n", "[", "]", "=", ":", "\n", "\r\n",
            "service", "address", "slots", "floor", "name", "127.0.0.1:80", "[::1]:80", "99999999999999999999", "-1", "70%", "%", "1h", "ms", ",", "POST /", "\"", ";", "#", " ", "\t",
            std::string(1, '\0'), "\xef\xbb\xbf", std::string(5000, 'a'), "\xff" };
        return rc::gen::map(rc::gen::container<std::vector<std::string>>(rc::gen::oneOf(rc::gen::elementOf(words), rc::gen::string<std::string>())), [](const std::vector<std::string>& parts) {
            auto text = std::string {};
            for (auto& part : parts)
                text += part;
            return text;
        });
    }

    /// Valid text with one to five random edits: a changed byte, removed bytes or duplicated bytes.
    auto damaged(const std::string& text) -> rc::Gen<std::string>
    {
        return rc::gen::exec([text] {
            auto result = text;
            for (auto count = *rc::gen::inRange(1, 6); count > 0 && !result.empty(); --count) {
                auto position = *rc::gen::inRange<size_t>(0, result.size());
                auto action = *rc::gen::inRange(0, 3);
                if (action == 0)
                    result[position] = *rc::gen::arbitrary<char>();
                else if (action == 1)
                    result.erase(position, *rc::gen::inRange<size_t>(1, 30));
                else
                    result.insert(position, result.substr(position, *rc::gen::inRange<size_t>(1, 30)));
            }
            return result;
        });
    }

    auto checkFaults(const fault_list& list) -> void
    {
        for (auto& entry : list.faults) {
            RC_ASSERT(!entry.message.empty());
            RC_ASSERT((entry.code == result_code::ConfigurationInvalid || entry.code == result_code::SettingsInvalid));
        }
    }

    auto buildFrom(const std::string& registerText, const std::string& rulesText) -> leaf::result<std::shared_ptr<const configuration>>
    {
        BOOST_LEAF_AUTO(registerDocument, parseIni(registerText, "register.ini", code));
        BOOST_LEAF_AUTO(rulesDocument, parseIni(rulesText, "rules.ini", code));
        auto builder = configuration_builder();
        return builder.addRegister(registerDocument).addRules(rulesDocument).build({ 1, {} });
    }

} // namespace

TEST_CASE("readers do not crash on arbitrary text, and every fault has a message")
{
    auto holds = rc::check("arbitrary INI", [] {
        auto text = *arbitraryIni();
        checkFaults(faultsOf([&] { return buildFrom(text, text); }));
        checkFaults(faultsOf([&] { return parseNodeSettings(text, "node.ini"); }));
    });
    CHECK(holds);
}

TEST_CASE("damaged documents are accepted or refused without a crash, and their canonical entries round-trip")
{
    auto holds = rc::check("damaged documents", [] {
        auto registerText = *damaged(sampleRegisterText());
        auto rulesText = *damaged(sampleRulesText());
        checkFaults(faultsOf([&] { return buildFrom(registerText, rulesText); }));
        auto parsed = parseIni(registerText, "register.ini", code);
        if (!parsed)
            return;
        for (auto& entry : toEntries(config_document::Register, parsed.value())) {
            auto located = toSection(entry);
            // Names and values with special characters of INI have no canonical form; the builder refuses such names.
            if (located)
                RC_ASSERT(toEntry(config_document::Register, located.value().section) == entry);
        }
    });
    CHECK(holds);
}

TEST_CASE("decoders of stored and received content do not crash on arbitrary bytes")
{
    auto holds = rc::check("arbitrary bytes", [] {
        auto bytes = *rc::gen::oneOf(rc::gen::string<std::string>(), damaged(R"(["a","b","c","d"])"), damaged(R"({"number":1,"parent":"00"})"));
        checkFaults(faultsOf([&] { return decodeChunk(bytes); }));
        checkFaults(faultsOf([&] { return decodeManifest(bytes); }));
        checkFaults(faultsOf([&] { return decodeRecord(bytes); }));
    });
    CHECK(holds);
}

TEST_CASE("the sample documents of both users are valid and differ in their ejection preference")
{
    auto preferenceOf = [](const std::string& user, const std::string& service) {
        auto builder = configuration_builder();
        builder.addRegister(readIni("samples/" + user + "/register.ini", code).value()).addRules(readIni("samples/" + user + "/rules.ini", code).value());
        auto config = builder.build({ 1, {} }).value();
        CHECK(config->nodes.size() == 40);
        CHECK(config->services.size() == 4);
        CHECK(config->services.at(service)->targets.size() == 18);
        return config->services.at(service)->rules.preference;
    };
    CHECK((preferenceOf("association", "bookdesk") == ejection_preference::FastDetection));
    CHECK((preferenceOf("wroblewski", "wizyty") == ejection_preference::FewFalseEjections));
    CHECK(readNodeSettings("samples/association/hub-ahd-a-01.ini").value().dataCentre == "ahd-a");
    CHECK(readNodeSettings("samples/wroblewski/hub-waw-a-01.ini").value().dataCentre == "waw-a");
}

} // namespace gypsumhub
