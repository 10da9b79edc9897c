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

/// An IP number with a port, `127.0.0.1:80` or `[::1]:80`; nothing when the text is anything else.
auto parseEndpoint(std::string_view) -> std::optional<endpoint>;

/// The text of an endpoint, as `parseEndpoint` reads it.
auto formatEndpoint(const endpoint&) -> std::string;

/// A length of time such as `250ms`, `30s`, `5m` or `2h`; nothing when the text is anything else.
auto parseDuration(std::string_view) -> std::optional<duration>;

/// The non-empty parts of a comma-separated list, trimmed.
auto splitList(std::string_view) -> std::vector<std::string>;

/// Bounds of a number, both included.
struct number_range {
    uint32_t least;
    uint32_t most;
};

/// Takes typed values out of one section and adds a fault for each value that cannot be used.
/// Keys that were never asked for are reported by `finish` as unknown.
class section_reader {
public:
    section_reader(const ini_section&, std::string_view file, result_code, fault_list&);

    /// The text of `key`, or nothing when it is absent.
    auto text(std::string_view key) -> std::optional<std::string>;
    /// The text of `key`; its absence is a fault.
    auto requiredText(std::string_view key, std::string_view hint) -> std::string;
    auto address(std::string_view key) -> std::optional<endpoint>;
    auto requiredAddress(std::string_view key) -> endpoint;
    auto addressList(std::string_view key) -> std::vector<endpoint>;
    auto number(std::string_view key, number_range, uint32_t fallback) -> uint32_t;
    auto percent(std::string_view key, uint32_t fallback) -> uint32_t;
    auto length(std::string_view key, duration fallback) -> duration;
    auto boolean(std::string_view key, bool fallback) -> bool;

    /// Adds a fault at the line of `key`, or at the header when the key is absent.
    auto report(std::string_view key, std::string message, std::string hint) -> void;
    /// Reports every key that no other call asked for.
    auto finish() -> void;

private:
    auto find(std::string_view key) -> const ini_pair*;

    const ini_section& m_section;
    std::string_view m_file;
    result_code m_code;
    fault_list& m_faults;
    std::vector<std::string> m_known;
};

} // namespace gypsumhub
