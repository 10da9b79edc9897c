#pragma once

#include <string_view>

namespace gypsumhub {

/// The host of a Host field, without the port.
inline auto hostOf(std::string_view field) -> std::string_view
{
    return field.substr(0, field.find(':'));
}

/// The path of a request target, without the query.
inline auto pathOf(std::string_view target) -> std::string_view
{
    return target.substr(0, target.find('?'));
}

} // namespace gypsumhub
