#pragma once

#include "gypsumhub/core/random_generator.h"

#include <array>
#include <cstdint>
#include <functional>
#include <opentracing/span.h>
#include <optional>
#include <string>
#include <string_view>

namespace gypsumhub {

/// Identifies a span across processes: W3C Trace Context, version 00.
class trace_context : public opentracing::SpanContext {
public:
    /// Parses a `traceparent` value; empty when it is invalid.
    static auto parse(std::string_view traceparent) -> std::optional<trace_context>;
    /// Makes the root span of a new trace.
    static auto makeRoot(random_generator&) -> trace_context;
    /// Makes a child span of the same trace.
    auto makeChild(random_generator&) const -> trace_context;

    /// Formats the context as a `traceparent` value.
    auto format() const -> std::string;

    auto ForeachBaggageItem(std::function<bool(const std::string&, const std::string&)>) const -> void override { } // NOLINT
    auto Clone() const noexcept -> std::unique_ptr<opentracing::SpanContext> override; // NOLINT
    auto ToTraceID() const noexcept -> std::string override; // NOLINT
    auto ToSpanID() const noexcept -> std::string override; // NOLINT

private:
    std::array<uint64_t, 2> m_trace { 0, 0 };
    uint64_t m_span { 0 };
    uint8_t m_flags { 1 };
};

} // namespace gypsumhub
