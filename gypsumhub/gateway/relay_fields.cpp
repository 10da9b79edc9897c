#include "gypsumhub/gateway/relay_fields.h"

#include <charconv>

namespace gypsumhub {

auto readRelayFields(const inbound_message& request) -> std::optional<relay_fields>
{
    auto value = std::string_view(request[relay_fields::name]);
    auto first = value.find(' ');
    auto second = first == std::string_view::npos ? first : value.find(' ', first + 1);
    if (second == std::string_view::npos)
        return std::nullopt;
    auto read = relay_fields { 0, std::string(value.substr(first + 1, second - first - 1)), std::string(value.substr(second + 1)) };
    auto [end, error] = std::from_chars(value.data(), value.data() + first, read.attempts);
    if (error != std::errc {} || end != value.data() + first || read.attempts == 0 || read.callerAddress.empty() || read.service.empty())
        return std::nullopt;
    return read;
}

} // namespace gypsumhub
