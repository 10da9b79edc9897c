#pragma once

#include <memory>
#include <opentracing/tracer.h>
#include <string>
#include <string_view>

namespace gypsumhub {

/// A span of a request's trace; finishes when destroyed. A default-constructed span does nothing.
class request_span {
public:
    request_span() = default;

    /// Starts the span of a request that arrived with `traceparent`, which may be empty. A null tracer means that spans are off.
    static auto start(const opentracing::Tracer*, std::string_view name, std::string_view traceparent) -> request_span;
    /// Starts a child span.
    auto startChild(std::string_view name) const -> request_span;

    auto tag(std::string_view key, std::string_view value) -> void;
    auto tag(std::string_view key, uint64_t value) -> void;

    /// Returns the `traceparent` to propagate, or empty when spans are off.
    auto traceparent() const -> std::string;

private:
    explicit request_span(std::unique_ptr<opentracing::Span> span)
        : m_span(std::move(span))
    {
    }

    std::unique_ptr<opentracing::Span> m_span;
};

} // namespace gypsumhub
