#include "gypsumhub/gateway/request_deadline.h"

#include "gypsumhub/platform/wire_names.h"

#include <algorithm>
#include <charconv>

namespace gypsumhub {

auto statedDeadline(const http::request_header<>& request, time_point arrivedAt) -> std::optional<time_point>
{
    // Longer than any timeout of a route, and short enough not to overflow.
    constexpr auto maxTimeLeftMs = int64_t { 3'600'000 };
    auto text = request[wire_names::timeLeft];
    auto left = int64_t { 0 };
    auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), left);
    if (error != std::errc {} || left < 0)
        return std::nullopt;
    return arrivedAt + milliseconds(std::min(left, maxTimeLeftMs));
}

auto deadlineOf(const inbound_message& request, const route& used, time_point arrivedAt) -> time_point
{
    auto latest = arrivedAt + used.timeLimit;
    return std::min(latest, statedDeadline(request, arrivedAt).value_or(latest));
}

} // namespace gypsumhub
