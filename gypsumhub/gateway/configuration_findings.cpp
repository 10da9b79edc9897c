#include "gypsumhub/gateway/configuration_findings.h"

#include "gypsumhub/config/route_table_check.h"
#include "gypsumhub/config/route_table_comparison.h"
#include "gypsumhub/platform/configuration_document.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <fstream>
#include <memory>
#include <sstream>
#include <string_view>
#include <utility>

namespace gypsumhub {

namespace {

    constexpr auto hexDigits = std::string_view("0123456789abcdef");

    using table_pointer = std::shared_ptr<const route_table>;

    auto readFile(const std::string& path) -> leaf::result<std::string>
    {
        auto stream = std::ifstream(path, std::ios::binary);
        // Only reading shows that a path is a directory.
        stream.peek();
        if (!stream.is_open() || stream.bad())
            return failWith({ result_code::FileUnreadable, "cannot be read" });
        auto text = std::ostringstream {};
        text << stream.rdbuf();
        return std::move(text).str();
    }

    auto readTable(const std::string& path) -> leaf::result<table_pointer>
    {
        BOOST_LEAF_AUTO(text, readFile(path));
        return readConfigurationDocument(text);
    }

    // Null after an error.
    auto readTable(const std::string& path, configuration_findings& findings) -> table_pointer
    {
        return leaf::try_handle_all(
            [&] { return readTable(path); },
            [&](const fault_list& list) {
                for (auto& entry : list.faults)
                    findings.errors.push_back(path + ": " + entry.message);
                return table_pointer {};
            },
            [&] {
                findings.errors.push_back(path + ": unknown error");
                return table_pointer {};
            });
    }

    // Names in the document may contain line ends.
    auto escaped(std::string_view line) -> std::string
    {
        auto text = std::string {};
        for (auto byte : line) {
            auto code = static_cast<unsigned char>(byte);
            if (code < 0x20 || code == 0x7f)
                text += { '\\', 'x', hexDigits[code / 16], hexDigits[code % 16] };
            else
                text += byte;
        }
        return text;
    }

    auto addLines(std::string& text, std::string_view kind, const std::vector<std::string>& findings) -> void
    {
        for (auto& line : findings)
            text += std::string(kind) + ": " + escaped(line) + "\n";
    }

} // namespace

auto checkConfigurationFiles(const std::string& file, const std::optional<std::string>& against) -> configuration_findings
{
    auto findings = configuration_findings {};
    auto table = readTable(file, findings);
    auto inForce = against ? readTable(*against, findings) : table_pointer {};
    if (table)
        findings.warnings = warningsAbout(*table);
    if (table && inForce)
        findings.differences = differencesBetween(*inForce, *table);
    return findings;
}

auto toText(const configuration_findings& findings) -> std::string
{
    auto text = std::string {};
    addLines(text, "error", findings.errors);
    addLines(text, "warning", findings.warnings);
    addLines(text, "difference", findings.differences);
    return text;
}

auto toJson(const configuration_findings& findings) -> std::string
{
    auto listOf = [](const std::vector<std::string>& lines) { return boost::json::array(lines.begin(), lines.end()); };
    auto object = boost::json::object { { "errors", listOf(findings.errors) }, { "warnings", listOf(findings.warnings) }, { "differences", listOf(findings.differences) } };
    return boost::json::serialize(object) + "\n";
}

auto exitStatus(const configuration_findings& findings) -> int
{
    if (!findings.errors.empty())
        return 2;
    return findings.warnings.empty() ? 0 : 1;
}

} // namespace gypsumhub
