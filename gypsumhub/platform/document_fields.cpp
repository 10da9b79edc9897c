#include "gypsumhub/platform/document_fields.h"

#include "gypsumhub/config/section_reader.h"

#include <boost/json/parse.hpp>
#include <cmath>

namespace gypsumhub {

namespace json = boost::json;

document_fields::document_fields(const json::object& object, std::string where)
    : m_object(object)
    , m_where(std::move(where))
{
}

auto document_fields::find(std::string_view name) const -> const json::value*
{
    auto* value = m_object.if_contains(name);
    return value && !value->is_null() ? value : nullptr;
}

auto document_fields::text(std::string_view name) -> std::string
{
    auto* value = find(name);
    if (value && value->is_string() && !value->as_string().empty())
        return std::string(value->as_string());
    report(name, "is not a non-empty string");
    return {};
}

auto document_fields::number(std::string_view name, uint64_t least, uint64_t most) -> uint64_t
{
    auto* value = find(name);
    auto error = boost::system::error_code {};
    auto number = value ? value->to_number<uint64_t>(error) : 0;
    if (value && !error && number >= least && number <= most)
        return number;
    report(name, "is not a whole number from " + std::to_string(least) + " to " + std::to_string(most));
    return least;
}

auto document_fields::flag(std::string_view name) -> bool
{
    auto* value = find(name);
    if (!value)
        return false;
    if (!value->is_bool())
        report(name, "is neither true nor false");
    return value->is_bool() && value->as_bool();
}

auto document_fields::decimal(std::string_view name) -> double
{
    auto* value = find(name);
    if (!value)
        return 0;
    auto error = boost::system::error_code {};
    auto number = value->to_number<double>(error);
    if (!error && std::isfinite(number) && number >= 0)
        return number;
    report(name, "is not a number of at least 0");
    return 0;
}

auto document_fields::texts(std::string_view name) -> std::vector<std::string>
{
    auto found = std::vector<std::string> {};
    auto* value = find(name);
    if (!value)
        return found;
    if (!value->is_array()) {
        report(name, "is not a list");
        return found;
    }
    for (auto& entry : value->as_array()) {
        if (entry.is_string() && !entry.as_string().empty())
            found.emplace_back(entry.as_string());
        else
            report(name, "contains at position " + std::to_string(&entry - value->as_array().data() + 1) + " no non-empty string");
    }
    return found;
}

auto document_fields::length(std::string_view name) -> duration
{
    auto* value = find(name);
    auto parsed = value && value->is_string() ? parseDuration(value->as_string()) : std::nullopt;
    if (parsed)
        return *parsed;
    report(name, "is not a duration such as \"250ms\"");
    return {};
}

auto document_fields::report(std::string_view name, std::string_view what) -> void
{
    m_faults.faults.push_back({ result_code::ConfigurationInvalid, m_where + ": \"" + std::string(name) + "\" " + std::string(what) });
}

auto parseDocument(std::string_view text, std::string_view what) -> leaf::result<json::object>
{
    auto error = boost::system::error_code {};
    auto value = json::parse(text, error);
    if (error)
        return failWith({ result_code::ConfigurationInvalid, std::string(what) + " is not valid JSON: " + error.message() });
    if (!value.is_object())
        return failWith({ result_code::ConfigurationInvalid, std::string(what) + " is not a JSON object" });
    return std::move(value.as_object());
}

} // namespace gypsumhub
