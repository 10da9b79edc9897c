#include "gypsumhub/proxy/trace_context.h"

#include <charconv>
#include <memory>

namespace gypsumhub {

namespace {

    // Length and field positions of "00-TRACE-SPAN-FLAGS".
    constexpr auto formattedSize = size_t { 55 };
    constexpr auto traceAt = size_t { 3 };
    constexpr auto spanAt = size_t { 36 };
    constexpr auto flagsAt = size_t { 53 };
    constexpr auto wordDigits = size_t { 16 };

    auto appendHex(std::string& text, uint64_t word, size_t digits) -> void
    {
        for (auto left = digits; left > 0; --left)
            text += "0123456789abcdef"[(word >> ((left - 1) * 4)) & 15];
    }

    auto parseHex(std::string_view digits) -> std::optional<uint64_t>
    {
        auto word = uint64_t { 0 };
        auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), word, 16);
        if (error != std::errc {} || end != digits.data() + digits.size())
            return std::nullopt;
        return word;
    }

} // namespace

auto trace_context::parse(std::string_view text) -> std::optional<trace_context>
{
    auto isWellFormed = text.size() == formattedSize && text.starts_with("00-") && text[spanAt - 1] == '-' && text[flagsAt - 1] == '-';
    if (!isWellFormed)
        return std::nullopt;
    auto high = parseHex(text.substr(traceAt, wordDigits));
    auto low = parseHex(text.substr(traceAt + wordDigits, wordDigits));
    auto span = parseHex(text.substr(spanAt, wordDigits));
    auto flags = parseHex(text.substr(flagsAt, 2));
    if (!high || !low || !span || !flags || (*high == 0 && *low == 0) || *span == 0)
        return std::nullopt;
    auto context = trace_context {};
    context.m_trace = { *high, *low };
    context.m_span = *span;
    context.m_flags = static_cast<uint8_t>(*flags);
    return context;
}

auto trace_context::makeRoot(random_generator& random) -> trace_context
{
    auto context = trace_context {};
    // An all-zero id is invalid; setting the lowest bit prevents it.
    context.m_trace = { random(), random() | 1 };
    context.m_span = random() | 1;
    return context;
}

auto trace_context::makeChild(random_generator& random) const -> trace_context
{
    auto child = *this;
    child.m_span = random() | 1;
    return child;
}

auto trace_context::format() const -> std::string
{
    auto text = "00-" + ToTraceID() + "-" + ToSpanID() + "-";
    appendHex(text, m_flags, 2);
    return text;
}

auto trace_context::Clone() const noexcept -> std::unique_ptr<opentracing::SpanContext>
{
    return std::make_unique<trace_context>(*this);
}

auto trace_context::ToTraceID() const noexcept -> std::string
{
    auto text = std::string {};
    for (auto word : m_trace)
        appendHex(text, word, wordDigits);
    return text;
}

auto trace_context::ToSpanID() const noexcept -> std::string
{
    auto text = std::string {};
    appendHex(text, m_span, wordDigits);
    return text;
}

} // namespace gypsumhub
