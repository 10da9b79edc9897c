#pragma once

#include "gypsumhub/core/fault.h"
#include "gypsumhub/core/time_point.h"

#include <boost/json/object.hpp>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace gypsumhub {

/// Reads typed fields of a JSON object and collects a fault with the field's name for each invalid one.
class document_fields {
public:
    /// `where` names the object in fault messages, such as `route "r-1"`.
    document_fields(const boost::json::object&, std::string where);

    /// A non-empty string.
    auto text(std::string_view name) -> std::string;
    auto number(std::string_view name, uint64_t least, uint64_t most) -> uint64_t;
    /// True or false; false when the field is absent.
    auto flag(std::string_view name) -> bool;
    /// A number of at least 0; 0 when the field is absent.
    auto decimal(std::string_view name) -> double;
    /// A list of non-empty strings; empty when the field is absent. Faults name the position, not the string, which may be secret.
    auto texts(std::string_view name) -> std::vector<std::string>;
    /// A duration written as a string with its unit, such as "1500ms".
    auto length(std::string_view name) -> duration;
    /// The field's value, or null when it is absent or null.
    auto find(std::string_view name) const -> const boost::json::value*;
    /// Adds a fault: `what` says what is wrong with the field.
    auto report(std::string_view name, std::string_view what) -> void;
    auto hasFaults() const -> bool { return !m_faults.faults.empty(); }
    auto takeFaults() -> fault_list { return std::move(m_faults); }

private:
    const boost::json::object& m_object;
    std::string m_where;
    fault_list m_faults;
};

/// Parses a JSON object. Fails with `ConfigurationInvalid`; `what` names the document in the message.
auto parseDocument(std::string_view text, std::string_view what) -> leaf::result<boost::json::object>;

} // namespace gypsumhub
