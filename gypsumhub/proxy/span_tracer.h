#pragma once

#include "gypsumhub/proxy/span_log.h"

#include <memory>
#include <opentracing/tracer.h>
#include <string>

namespace gypsumhub {

/// An OpenTracing tracer that writes each finished span as one JSON line and propagates W3C `traceparent`. Supports text map
/// and HTTP header carriers; binary carriers are not supported.
class span_tracer : public opentracing::Tracer, public std::enable_shared_from_this<span_tracer> {
public:
    explicit span_tracer(const std::string& path);

    /// Whether the span log could be opened.
    auto isOpen() const -> bool { return m_log.isOpen(); }

    // OpenTracing prescribes the names below. NOLINTBEGIN
    auto StartSpanWithOptions(opentracing::string_view name, const opentracing::StartSpanOptions&) const noexcept
        -> std::unique_ptr<opentracing::Span> override;
    auto Inject(const opentracing::SpanContext&, std::ostream&) const -> opentracing::expected<void> override;
    auto Inject(const opentracing::SpanContext&, const opentracing::TextMapWriter&) const -> opentracing::expected<void> override;
    auto Inject(const opentracing::SpanContext&, const opentracing::HTTPHeadersWriter&) const -> opentracing::expected<void> override;
    auto Extract(std::istream&) const -> opentracing::expected<std::unique_ptr<opentracing::SpanContext>> override;
    auto Extract(const opentracing::TextMapReader&) const -> opentracing::expected<std::unique_ptr<opentracing::SpanContext>> override;
    auto Extract(const opentracing::HTTPHeadersReader&) const -> opentracing::expected<std::unique_ptr<opentracing::SpanContext>> override;
    // NOLINTEND

private:
    mutable span_log m_log;
};

} // namespace gypsumhub
