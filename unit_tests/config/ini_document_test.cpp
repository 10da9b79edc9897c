#include "fakes/faults_of.h"
#include "gypsumhub/config/ini_document.h"

#include <doctest/doctest.h>

namespace gypsumhub {

namespace {

    constexpr auto code = result_code::ConfigurationInvalid;

} // namespace

TEST_CASE("INI text keeps section, key, value and line, with long names and sections without keys")
{
    auto longName = "/" + std::string(120, 'a');
    auto document = parseIni("# comment\n[service s]\n\n[route " + longName + "]\n service = s ; why\n[node]\r\nname=n\r\n", "f.ini", code).value();
    REQUIRE(document.sections.size() == 3);
    CHECK(document.sections[0].pairs.empty());
    CHECK(document.sections[0].line == 2);
    CHECK(document.sections[1].name == longName);
    CHECK(document.sections[1].pairs[0].value == "s");
    CHECK(document.sections[1].pairs[0].line == 5);
    CHECK(document.sections[2].name.empty());
    CHECK(document.sections[2].pairs[0].value == "n");
}

TEST_CASE("all faults of INI text are collected with their lines")
{
    auto list = faultsOf([] { return parseIni("early = 1\n[a x]\nk = 1\nk = 2\nnonsense\n[a x]\n[broken\nskipped = 1\n", "f.ini", code); });
    REQUIRE(list.faults.size() == 5);
    auto lines = std::vector<uint32_t> {};
    for (auto& entry : list.faults) {
        lines.push_back(entry.line);
        CHECK((entry.code == code));
        CHECK(entry.file == "f.ini");
        CHECK_FALSE(entry.hint.empty());
    }
    CHECK(lines == std::vector<uint32_t> { 1, 4, 5, 6, 7 });
}

TEST_CASE("long lists are kept whole, and a line beyond the limit is a fault")
{
    auto parseValue = [](size_t length) { return parseIni("[a]\nk = " + std::string(length, 'x') + "\n", "f.ini", code); };
    CHECK(parseValue(4000).value().sections[0].pairs[0].value.size() == 4000);
    CHECK(faultsOf([&] { return parseValue(5000); }).faults.size() == 1);
}

TEST_CASE("a file that cannot be read is reported by path")
{
    auto list = faultsOf([] { return readIni("/nonexistent/register.ini", code); });
    REQUIRE(list.faults.size() == 1);
    CHECK((list.faults[0].code == result_code::FileUnreadable));
    CHECK(list.faults[0].file == "/nonexistent/register.ini");
}

} // namespace gypsumhub
