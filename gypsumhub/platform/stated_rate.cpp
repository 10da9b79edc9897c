#include "gypsumhub/platform/stated_rate.h"

#include "gypsumhub/platform/wire_names.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <string_view>

namespace gypsumhub {

auto readStatedRate(const http::fields& head) -> stated_rate
{
    using enum stated_rate::field_state;
    auto count = head.count(wire_names::rateLimit);
    if (count == 0)
        return { Absent };
    auto value = head[wire_names::rateLimit];
    auto text = std::string_view(value.data(), value.size());
    // The parser below also accepts signs, exponents, infinity and NaN.
    auto isPlain = std::ranges::all_of(text, [](char c) { return (c >= '0' && c <= '9') || c == '.'; });
    auto rate = 0.0;
    auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), rate);
    if (count > 1 || !isPlain || error != std::errc {} || end != text.data() + text.size() || !std::isfinite(rate))
        return { Malformed };
    return { Valid, rate };
}

} // namespace gypsumhub
