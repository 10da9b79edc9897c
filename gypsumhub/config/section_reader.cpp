#include "gypsumhub/config/section_reader.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <charconv>
#include <utility>

namespace gypsumhub {

namespace {

    template <typename Number>
    auto parseNumber(std::string_view text) -> std::optional<Number>
    {
        auto value = Number {};
        auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
        if (error != std::errc {} || end != text.data() + text.size())
            return std::nullopt;
        return value;
    }

    auto isIpNumber(const std::string& text, int family) -> bool
    {
        auto bytes = std::array<unsigned char, sizeof(in6_addr)> {};
        return inet_pton(family, text.c_str(), bytes.data()) == 1;
    }

    auto trimBlanks(std::string_view text) -> std::string_view
    {
        while (text.starts_with(' ') || text.starts_with('\t'))
            text.remove_prefix(1);
        while (text.ends_with(' ') || text.ends_with('\t'))
            text.remove_suffix(1);
        return text;
    }

    /// Suffix of a duration's text and the length of its unit.
    struct duration_unit {
        std::string_view suffix;
        duration length;
    };

    // Units are matched as suffixes in this order: "us" and "ms" come before "s", in which both end.
    constexpr auto durationUnits = std::to_array<duration_unit>({
        { "us", microseconds(1) },
        { "ms", milliseconds(1) },
        { "s", seconds(1) },
        { "m", minutes(1) },
        { "h", minutes(60) },
    });

    // Sums of a few of them do not overflow.
    constexpr auto maxDuration = minutes(366 * 24 * 60);
    constexpr auto addressHint = "write an IP address and a port, such as 127.0.0.1:8080 or [::1]:8080";

} // namespace

auto parseEndpoint(std::string_view text) -> std::optional<endpoint>
{
    auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return std::nullopt;
    auto port = parseNumber<uint16_t>(text.substr(colon + 1));
    if (!port || *port == 0)
        return std::nullopt;
    auto host = text.substr(0, colon);
    auto isBracketed = host.starts_with('[') && host.ends_with(']');
    auto address = std::string(isBracketed ? host.substr(1, host.size() - 2) : host);
    if (!isIpNumber(address, isBracketed ? AF_INET6 : AF_INET))
        return std::nullopt;
    return endpoint { std::move(address), *port };
}

auto formatEndpoint(const endpoint& value) -> std::string
{
    auto port = ':' + std::to_string(value.port);
    if (value.address.find(':') != std::string::npos)
        return '[' + value.address + ']' + port;
    return value.address + port;
}

auto parseDuration(std::string_view text) -> std::optional<duration>
{
    for (auto& unit : durationUnits) {
        if (!text.ends_with(unit.suffix))
            continue;
        auto count = parseNumber<uint32_t>(trimBlanks(text.substr(0, text.size() - unit.suffix.size())));
        if (count && *count <= maxDuration / unit.length)
            return unit.length * *count;
    }
    return std::nullopt;
}

auto splitList(std::string_view text) -> std::vector<std::string>
{
    auto parts = std::vector<std::string> {};
    while (!text.empty()) {
        auto comma = std::min(text.find(','), text.size());
        auto part = trimBlanks(text.substr(0, comma));
        if (!part.empty())
            parts.emplace_back(part);
        text.remove_prefix(std::min(comma + 1, text.size()));
    }
    return parts;
}

section_reader::section_reader(const ini_section& section, std::string_view file, result_code code, fault_list& faults)
    : m_section(section)
    , m_file(file)
    , m_code(code)
    , m_faults(faults)
{
}

auto section_reader::find(std::string_view key) -> const ini_pair*
{
    m_knownKeys.emplace_back(key);
    auto found = std::ranges::find(m_section.pairs, key, &ini_pair::key);
    return found == m_section.pairs.end() ? nullptr : &*found;
}

auto section_reader::text(std::string_view key) -> std::optional<std::string>
{
    auto* pair = find(key);
    if (!pair)
        return std::nullopt;
    return pair->value;
}

auto section_reader::requiredText(std::string_view key, std::string_view hint) -> std::string
{
    auto value = text(key);
    if (value && !value->empty())
        return *value;
    report(key, "key '" + std::string(key) + "' is missing", std::string(hint));
    return {};
}

auto section_reader::address(std::string_view key) -> std::optional<endpoint>
{
    auto value = text(key);
    if (!value)
        return std::nullopt;
    auto parsed = parseEndpoint(*value);
    if (!parsed)
        report(key, "'" + *value + "' is not a valid address", addressHint);
    return parsed;
}

auto section_reader::requiredAddress(std::string_view key) -> endpoint
{
    auto faultsBefore = m_faults.faults.size();
    auto value = address(key);
    if (!value && m_faults.faults.size() == faultsBefore)
        report(key, "key '" + std::string(key) + "' is missing", addressHint);
    return value.value_or(endpoint {});
}

auto section_reader::addressList(std::string_view key) -> std::vector<endpoint>
{
    auto addresses = std::vector<endpoint> {};
    for (auto& part : splitList(text(key).value_or(""))) {
        auto parsed = parseEndpoint(part);
        if (parsed)
            addresses.push_back(*parsed);
        else
            report(key, "'" + part + "' is not a valid address", addressHint);
    }
    return addresses;
}

auto section_reader::number(std::string_view key, number_range range, uint32_t fallback) -> uint32_t
{
    auto value = text(key);
    if (!value)
        return fallback;
    auto parsed = parseNumber<uint32_t>(*value);
    if (parsed && *parsed >= range.min && *parsed <= range.max)
        return *parsed;
    report(key, "'" + *value + "' is not a valid number for '" + std::string(key) + "'",
        "write a whole number from " + std::to_string(range.min) + " to " + std::to_string(range.max));
    return fallback;
}

auto section_reader::percent(std::string_view key, uint32_t fallback) -> uint32_t
{
    auto value = text(key);
    if (!value)
        return fallback;
    auto digits = std::string_view(*value);
    auto hasSign = digits.ends_with('%');
    if (hasSign)
        digits.remove_suffix(1);
    auto parsed = parseNumber<uint32_t>(trimBlanks(digits));
    if (hasSign && parsed && *parsed <= 100)
        return *parsed;
    report(key, "'" + *value + "' is not a valid percentage for '" + std::string(key) + "'", "write a percentage from 0% to 100%, such as 70%");
    return fallback;
}

auto section_reader::timeSpan(std::string_view key, duration fallback) -> duration
{
    auto value = text(key);
    if (!value)
        return fallback;
    auto parsed = parseDuration(*value);
    if (parsed && *parsed <= minutes(24 * 60) && parsed->ns > 0)
        return *parsed;
    report(key, "'" + *value + "' is not a valid duration for '" + std::string(key) + "'", "write a positive number with its unit, such as 250ms, 30s or 5m, at most 24h");
    return fallback;
}

auto section_reader::boolean(std::string_view key, bool fallback) -> bool
{
    auto value = text(key);
    if (!value)
        return fallback;
    if (*value == "yes" || *value == "no")
        return *value == "yes";
    report(key, "'" + *value + "' is not a valid value for '" + std::string(key) + "'", "write yes or no");
    return fallback;
}

auto section_reader::report(std::string_view key, std::string message, std::string hint) -> void
{
    auto pair = std::ranges::find(m_section.pairs, key, &ini_pair::key);
    auto line = pair == m_section.pairs.end() ? m_section.line : pair->line;
    m_faults.faults.push_back({ m_code, std::move(message), std::string(m_file), line, std::move(hint) });
}

auto section_reader::finish() -> void
{
    for (auto& pair : m_section.pairs) {
        if (std::ranges::find(m_knownKeys, pair.key) != m_knownKeys.end())
            continue;
        auto hint = m_knownKeys.empty() ? std::string("remove the line") : std::string("known keys of [") + m_section.kind + "]:";
        for (auto& key : m_knownKeys)
            hint += ' ' + key;
        report(pair.key, "key '" + pair.key + "' is unknown", std::move(hint));
    }
}

} // namespace gypsumhub
