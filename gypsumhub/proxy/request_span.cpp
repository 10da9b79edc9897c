#include "gypsumhub/proxy/request_span.h"

#include "gypsumhub/proxy/header_names.h"

#include <functional>

namespace gypsumhub {

namespace {

    auto toStringView(std::string_view text) -> opentracing::string_view
    {
        return { text.data(), text.size() };
    }

    // A carrier that holds only `traceparent`. NOLINTBEGIN(readability-identifier-naming)
    class traceparent_carrier : public opentracing::HTTPHeadersReader, public opentracing::HTTPHeadersWriter {
    public:
        auto LookupKey(opentracing::string_view key) const -> opentracing::expected<opentracing::string_view> override
        {
            if (value.empty() || key != toStringView(header_names::traceparent))
                return opentracing::make_unexpected(opentracing::key_not_found_error);
            return toStringView(value);
        }

        auto ForeachKey(std::function<opentracing::expected<void>(opentracing::string_view, opentracing::string_view)> visit) const
            -> opentracing::expected<void> override
        {
            return visit(toStringView(header_names::traceparent), toStringView(value));
        }

        auto Set(opentracing::string_view, opentracing::string_view next) const -> opentracing::expected<void> override
        {
            value = next;
            return {};
        }

        mutable std::string value;
    };
    // NOLINTEND(readability-identifier-naming)

} // namespace

auto request_span::start(const opentracing::Tracer* tracer, std::string_view name, std::string_view traceparent) -> request_span
{
    if (!tracer)
        return {};
    auto carrier = traceparent_carrier {};
    carrier.value = traceparent;
    const opentracing::HTTPHeadersReader& reader = carrier;
    auto parent = tracer->Extract(reader);
    auto options = opentracing::StartSpanOptions {};
    if (parent && *parent)
        options.references.emplace_back(opentracing::SpanReferenceType::ChildOfRef, parent->get());
    return request_span(tracer->StartSpanWithOptions(toStringView(name), options));
}

auto request_span::startChild(std::string_view name) const -> request_span
{
    if (!m_span)
        return {};
    auto options = opentracing::StartSpanOptions {};
    options.references.emplace_back(opentracing::SpanReferenceType::ChildOfRef, &m_span->context());
    return request_span(m_span->tracer().StartSpanWithOptions(toStringView(name), options));
}

auto request_span::tag(std::string_view key, std::string_view value) -> void
{
    if (m_span)
        m_span->SetTag(toStringView(key), std::string(value));
}

auto request_span::tag(std::string_view key, uint64_t value) -> void
{
    if (m_span)
        m_span->SetTag(toStringView(key), value);
}

auto request_span::traceparent() const -> std::string
{
    if (!m_span)
        return {};
    auto carrier = traceparent_carrier {};
    const opentracing::HTTPHeadersWriter& writer = carrier;
    m_span->tracer().Inject(m_span->context(), writer);
    return carrier.value;
}

} // namespace gypsumhub
