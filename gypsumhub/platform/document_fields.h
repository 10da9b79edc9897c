#pragma once

#include "gypsumhub/core/fault.h"
#include "gypsumhub/core/time_point.h"

#include <boost/json/object.hpp>
#include <cstdint>
#include <string>
#include <string_view>

namespace gypsumhub {

/// Takes typed fields out of one JSON object of the platform and remembers every fault with the field's name.
class document_fields {
public:
    /// `where` names the object in faults, such as `route "r-1"`.
    document_fields(const boost::json::object&, std::string where);

    auto text(std::string_view name) -> std::string;
    auto number(std::string_view name, uint64_t least, uint64_t most) -> uint64_t;
    /// A length of time written as text with its unit, such as "1500ms".
    auto length(std::string_view name) -> duration;
    /// The field's value, or null when it is absent or null.
    auto find(std::string_view name) const -> const boost::json::value*;
    auto report(std::string_view name, std::string_view what) -> void;
    auto hasFaults() const -> bool { return !m_faults.faults.empty(); }
    auto takeFaults() -> fault_list { return std::move(m_faults); }

private:
    const boost::json::object& m_object;
    std::string m_where;
    fault_list m_faults;
};

/// Parses a JSON object; fails with `ConfigurationInvalid` naming `what`.
auto parseDocument(std::string_view text, std::string_view what) -> leaf::result<boost::json::object>;

} // namespace gypsumhub
