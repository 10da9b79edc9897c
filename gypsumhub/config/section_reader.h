#pragma once

#include "gypsumhub/config/configuration.h"
#include "gypsumhub/config/ini_document.h"
#include "gypsumhub/core/time_point.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace gypsumhub {

/// Parses a numeric IP address with a port, such as `127.0.0.1:80` or `[::1]:80`; nothing when the text is invalid or the port is 0.
auto parseEndpoint(std::string_view) -> std::optional<endpoint>;

/// The text of an endpoint in the form that `parseEndpoint` accepts.
auto formatEndpoint(const endpoint&) -> std::string;

/// Parses a duration such as `500us`, `250ms`, `30s`, `5m` or `2h`; nothing when the text is invalid or the duration exceeds a year.
auto parseDuration(std::string_view) -> std::optional<duration>;

/// The items of a comma-separated list, trimmed and without empty ones.
auto splitList(std::string_view) -> std::vector<std::string>;

/// Bounds of a number, both inclusive.
struct number_range {
    uint32_t min;
    uint32_t max;
};

/// Reads typed values from one section and adds a fault for each invalid value. `finish` reports the keys that were not read as unknown.
/// The section, the file name and the list of faults must outlive the reader.
class section_reader {
public:
    section_reader(const ini_section&, std::string_view file, result_code, fault_list&);

    /// The text of `key`, or nothing when it is absent.
    auto text(std::string_view key) -> std::optional<std::string>;
    /// The text of `key`; a fault when it is absent or empty.
    auto requiredText(std::string_view key, std::string_view hint) -> std::string;
    // The getters below return nothing, an empty value or `fallback` when the key is absent or its value is invalid.
    auto address(std::string_view key) -> std::optional<endpoint>;
    auto requiredAddress(std::string_view key) -> endpoint;
    auto addressList(std::string_view key) -> std::vector<endpoint>;
    auto number(std::string_view key, number_range, uint32_t fallback) -> uint32_t;
    auto percent(std::string_view key, uint32_t fallback) -> uint32_t;
    /// A duration above 0 and of at most 24 hours.
    auto timeSpan(std::string_view key, duration fallback) -> duration;
    auto boolean(std::string_view key, bool fallback) -> bool;

    /// Adds a fault with the line of `key`, or with the line of the header when the key is absent.
    auto report(std::string_view key, std::string message, std::string hint) -> void;
    /// Adds a fault for every key of the section that no other call has read.
    auto finish() -> void;

private:
    auto find(std::string_view key) -> const ini_pair*;

    const ini_section& m_section;
    std::string_view m_file;
    result_code m_code;
    fault_list& m_faults;
    std::vector<std::string> m_knownKeys;
};

} // namespace gypsumhub
