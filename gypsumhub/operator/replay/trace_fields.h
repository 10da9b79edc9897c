#pragma once

#include "gypsumhub/core/fault.h"
#include "gypsumhub/core/time_point.h"

#include <boost/json/object.hpp>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace gypsumhub {

/// Reads the fields of one JSON object of a trace and collects the faults in them. Functions with a `fallback` return it when the field
/// is absent. Fields that no call requested are faults.
class trace_fields {
public:
    /// `file` and `line` go into the faults. The JSON object and the list must outlive this reader.
    trace_fields(const boost::json::object&, std::string_view file, uint32_t line, fault_list&);

    auto has(std::string_view name) const -> bool;
    /// Returns a required string.
    auto text(std::string_view name) -> std::string;
    auto text(std::string_view name, std::string_view fallback) -> std::string;
    auto number(std::string_view name, double fallback) -> double;
    auto flag(std::string_view name, bool fallback) -> bool;
    /// Returns a list of strings, empty when absent.
    auto texts(std::string_view name) -> std::vector<std::string>;
    /// Returns a list of objects, empty when absent.
    auto objects(std::string_view name) -> std::vector<const boost::json::object*>;
    /// Returns an instant, which the field contains in seconds.
    auto instant(std::string_view name, time_point fallback) -> time_point;
    /// Returns a duration, which the field contains in milliseconds.
    auto milliseconds(std::string_view name, duration fallback) -> duration;

    /// Adds a fault with this line.
    auto fail(std::string message, std::string hint = {}) -> void;
    /// Adds a fault for each field that no call requested.
    auto finish() -> void;

private:
    auto find(std::string_view name) -> const boost::json::value*;

    const boost::json::object& m_object;
    std::string_view m_file;
    uint32_t m_line;
    fault_list& m_faults;
    std::set<std::string, std::less<>> m_requested;
};

} // namespace gypsumhub
