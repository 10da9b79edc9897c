#include "gypsumhub/platform/stated_pause.h"

#include <algorithm>
#include <charconv>
#include <string_view>

namespace gypsumhub {

namespace {

    // Longer than any pause that is obeyed, and short enough not to overflow.
    constexpr auto maxStatedSeconds = 86'400.0;

    auto readSeconds(std::string_view text) -> std::optional<double>
    {
        // The parser below also accepts signs, exponents, infinity and NaN.
        auto isPlain = std::ranges::all_of(text, [](char c) { return (c >= '0' && c <= '9') || c == '.'; });
        auto value = 0.0;
        auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
        auto isWhole = end == text.data() + text.size();
        if (isPlain && isWhole && error == std::errc::result_out_of_range)
            return maxStatedSeconds;
        return isPlain && isWhole && error == std::errc {} ? std::optional(std::min(value, maxStatedSeconds)) : std::nullopt;
    }

} // namespace

auto readStatedPause(const http::fields& head) -> stated_pause
{
    auto longest = 0.0;
    auto isMalformed = false;
    auto [first, last] = head.equal_range(http::field::retry_after);
    for (; first != last; ++first) {
        auto value = readSeconds({ first->value().data(), first->value().size() });
        isMalformed |= !value;
        longest = std::max(longest, value.value_or(0));
    }
    if (longest <= 0)
        return { std::nullopt, isMalformed };
    return { duration { static_cast<int64_t>(longest * 1e9) }, false };
}

} // namespace gypsumhub
