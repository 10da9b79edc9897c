#pragma once

#include "gypsumhub/core/fault.h"
#include "gypsumhub/core/time_point.h"

#include <boost/json/object.hpp>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace gypsumhub {

/// Reads the fields of one JSON object of a trace and collects what is wrong with them. Fields that nobody asked for are faults.
class trace_fields {
public:
    /// `file` and `line` go into the faults. The object and the list must outlive this.
    trace_fields(const boost::json::object&, std::string_view file, uint32_t line, fault_list&);

    auto has(std::string_view name) const -> bool;
    /// A required text.
    auto text(std::string_view name) -> std::string;
    auto text(std::string_view name, std::string_view fallback) -> std::string;
    auto number(std::string_view name, double fallback) -> double;
    auto flag(std::string_view name, bool fallback) -> bool;
    /// A list of texts, empty when absent.
    auto texts(std::string_view name) -> std::vector<std::string>;
    /// A list of objects, empty when absent.
    auto objects(std::string_view name) -> std::vector<const boost::json::object*>;
    /// An instant given in seconds.
    auto instant(std::string_view name, time_point fallback) -> time_point;
    /// Seconds or, for `milliseconds`, their thousandths as a length of time.
    auto milliseconds(std::string_view name, duration fallback) -> duration;

    /// Adds a fault of this line.
    auto fail(std::string message, std::string hint = {}) -> void;
    /// Reports the fields that were never asked for.
    auto finish() -> void;

private:
    auto find(std::string_view name) -> const boost::json::value*;

    const boost::json::object& m_object;
    std::string_view m_file;
    uint32_t m_line;
    fault_list& m_faults;
    std::set<std::string, std::less<>> m_asked;
};

} // namespace gypsumhub
