#include "gypsumhub/operator/replay/trace_fields.h"

#include <boost/json/array.hpp>
#include <boost/json/value.hpp>
#include <cmath>

namespace gypsumhub {

namespace json = boost::json;

trace_fields::trace_fields(const json::object& object, std::string_view file, uint32_t line, fault_list& faults)
    : m_object(object)
    , m_file(file)
    , m_line(line)
    , m_faults(faults)
{
}

auto trace_fields::has(std::string_view name) const -> bool
{
    return m_object.contains(name);
}

auto trace_fields::text(std::string_view name) -> std::string
{
    if (!has(name))
        fail("\"" + std::string(name) + "\" is missing");
    return text(name, {});
}

auto trace_fields::text(std::string_view name, std::string_view fallback) -> std::string
{
    auto* value = find(name);
    if (!value)
        return std::string(fallback);
    if (auto* string = value->if_string())
        return std::string(*string);
    fail("\"" + std::string(name) + "\" must be a string");
    return std::string(fallback);
}

auto trace_fields::number(std::string_view name, double fallback) -> double
{
    auto* value = find(name);
    if (!value)
        return fallback;
    auto error = boost::system::error_code {};
    auto result = value->to_number<double>(error);
    if (!error && std::isfinite(result))
        return result;
    fail("\"" + std::string(name) + "\" must be a number");
    return fallback;
}

auto trace_fields::flag(std::string_view name, bool fallback) -> bool
{
    auto* value = find(name);
    if (!value)
        return fallback;
    if (auto* boolean = value->if_bool())
        return *boolean;
    fail("\"" + std::string(name) + "\" must be true or false");
    return fallback;
}

auto trace_fields::texts(std::string_view name) -> std::vector<std::string>
{
    auto result = std::vector<std::string> {};
    auto* value = find(name);
    auto* array = value ? value->if_array() : nullptr;
    if (value && !array)
        fail("\"" + std::string(name) + "\" must be a list of strings");
    for (auto index = size_t { 0 }; array && index < array->size(); ++index) {
        if (auto* string = (*array)[index].if_string())
            result.emplace_back(*string);
        else
            fail("\"" + std::string(name) + "\" must contain only strings");
    }
    return result;
}

auto trace_fields::objects(std::string_view name) -> std::vector<const json::object*>
{
    auto result = std::vector<const json::object*> {};
    auto* value = find(name);
    auto* array = value ? value->if_array() : nullptr;
    if (value && !array)
        fail("\"" + std::string(name) + "\" must be a list of objects");
    for (auto index = size_t { 0 }; array && index < array->size(); ++index) {
        if (auto* object = (*array)[index].if_object())
            result.push_back(object);
        else
            fail("\"" + std::string(name) + "\" must contain only objects");
    }
    return result;
}

auto trace_fields::instant(std::string_view name, time_point fallback) -> time_point
{
    if (!has(name))
        return fallback;
    return { std::llround(number(name, 0) * 1e9) };
}

auto trace_fields::milliseconds(std::string_view name, duration fallback) -> duration
{
    if (!has(name))
        return fallback;
    return { std::llround(number(name, 0) * 1e6) };
}

auto trace_fields::fail(std::string message, std::string hint) -> void
{
    m_faults.faults.push_back({ result_code::TraceInvalid, std::move(message), std::string(m_file), m_line, std::move(hint) });
}

auto trace_fields::finish() -> void
{
    for (auto& entry : m_object) {
        if (!m_requested.contains(std::string_view(entry.key())))
            fail("unknown field \"" + std::string(entry.key()) + "\"");
    }
}

auto trace_fields::find(std::string_view name) -> const json::value*
{
    m_requested.emplace(name);
    return m_object.if_contains(name);
}

} // namespace gypsumhub
