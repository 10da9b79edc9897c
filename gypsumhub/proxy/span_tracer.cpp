#include "gypsumhub/proxy/span_tracer.h"

#include "gypsumhub/core/clock.h"
#include "gypsumhub/core/hash.h"
#include "gypsumhub/proxy/header_names.h"
#include "gypsumhub/proxy/trace_context.h"

#include <atomic>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <unistd.h>
#include <utility>
#include <vector>

// OpenTracing prescribes the names of the overridden functions.
// NOLINTBEGIN(readability-identifier-naming)

namespace gypsumhub {

namespace {

    // One generator per thread, so that starting a span takes no lock.
    auto spanRandom() -> random_generator&
    {
        static auto threads = std::atomic<uint64_t> { 0 };
        static thread_local auto generator
            = random_generator(mixHashes(static_cast<uint64_t>(wallClockNow().ns), mixHashes(static_cast<uint64_t>(::getpid()), ++threads)));
        return generator;
    }

    auto toJson(const opentracing::Value& value) -> boost::json::value
    {
        if (value.is<std::string>())
            return boost::json::string(value.get<std::string>());
        if (value.is<const char*>())
            return boost::json::string(value.get<const char*>());
        if (value.is<int64_t>())
            return value.get<int64_t>();
        if (value.is<uint64_t>())
            return value.get<uint64_t>();
        if (value.is<double>())
            return value.get<double>();
        if (value.is<bool>())
            return value.get<bool>();
        return nullptr;
    }

    // A span that appends one JSON line to the span log when it finishes. Baggage and logs are ignored.
    class json_span : public opentracing::Span {
    public:
        json_span(std::shared_ptr<const span_tracer> tracer, span_log& log, std::string name, trace_context context, std::string parent)
            : m_tracer(std::move(tracer))
            , m_log(log)
            , m_name(std::move(name))
            , m_context(std::move(context))
            , m_parent(std::move(parent))
            , m_startedAt(wallClockNow())
            , m_startedSteady(steadyClockNow())
        {
        }

        ~json_span() override { json_span::FinishWithOptions({}); }

        auto FinishWithOptions(const opentracing::FinishSpanOptions&) noexcept -> void override
        {
            if (std::exchange(m_finished, true))
                return;
            auto line = boost::json::object {
                { "trace", m_context.ToTraceID() },
                { "span", m_context.ToSpanID() },
                { "parent", m_parent },
                { "name", m_name },
                { "startUs", m_startedAt.ns / 1000 },
                { "durationUs", (steadyClockNow() - m_startedSteady).ns / 1000 },
                { "tags", std::move(m_tags) },
            };
            m_log.append(boost::json::serialize(line));
        }

        auto SetOperationName(opentracing::string_view name) noexcept -> void override { m_name = name; }

        auto SetTag(opentracing::string_view key, const opentracing::Value& value) noexcept -> void override
        {
            m_tags[{ key.data(), key.size() }] = toJson(value);
        }

        auto SetBaggageItem(opentracing::string_view, opentracing::string_view) noexcept -> void override { }
        auto BaggageItem(opentracing::string_view) const noexcept -> std::string override { return {}; }
        auto Log(std::initializer_list<std::pair<opentracing::string_view, opentracing::Value>>) noexcept -> void override { }
        auto Log(opentracing::SystemTime, std::initializer_list<std::pair<opentracing::string_view, opentracing::Value>>) noexcept -> void override
        {
        }
        auto Log(opentracing::SystemTime, const std::vector<std::pair<opentracing::string_view, opentracing::Value>>&) noexcept -> void override
        {
        }
        auto context() const noexcept -> const opentracing::SpanContext& override { return m_context; }
        auto tracer() const noexcept -> const opentracing::Tracer& override { return *m_tracer; }

    private:
        std::shared_ptr<const span_tracer> m_tracer;
        span_log& m_log;
        std::string m_name;
        trace_context m_context;
        std::string m_parent;
        time_point m_startedAt;
        time_point m_startedSteady;
        boost::json::object m_tags;
        bool m_finished { false };
    };

    auto toStringView(std::string_view text) -> opentracing::string_view
    {
        return { text.data(), text.size() };
    }

} // namespace

span_tracer::span_tracer(const std::string& path)
    : m_log(path)
{
}

auto span_tracer::StartSpanWithOptions(opentracing::string_view name, const opentracing::StartSpanOptions& options) const noexcept
    -> std::unique_ptr<opentracing::Span>
{
    auto& random = spanRandom();
    const trace_context* parent = nullptr;
    for (auto& [type, context] : options.references)
        if (auto traceContext = dynamic_cast<const trace_context*>(context))
            parent = traceContext;
    auto context = parent ? parent->makeChild(random) : trace_context::makeRoot(random);
    auto parentId = parent ? parent->ToSpanID() : std::string {};
    auto span = std::make_unique<json_span>(shared_from_this(), m_log, std::string(name), std::move(context), std::move(parentId));
    for (auto& [key, value] : options.tags)
        span->SetTag(key, value);
    return span;
}

auto span_tracer::Inject(const opentracing::SpanContext&, std::ostream&) const -> opentracing::expected<void>
{
    return opentracing::make_unexpected(opentracing::invalid_carrier_error);
}

auto span_tracer::Inject(const opentracing::SpanContext& context, const opentracing::TextMapWriter& writer) const
    -> opentracing::expected<void>
{
    auto traceContext = dynamic_cast<const trace_context*>(&context);
    if (!traceContext)
        return opentracing::make_unexpected(opentracing::invalid_span_context_error);
    return writer.Set(toStringView(header_names::traceparent), traceContext->format());
}

auto span_tracer::Inject(const opentracing::SpanContext& context, const opentracing::HTTPHeadersWriter& writer) const
    -> opentracing::expected<void>
{
    return Inject(context, static_cast<const opentracing::TextMapWriter&>(writer));
}

auto span_tracer::Extract(std::istream&) const -> opentracing::expected<std::unique_ptr<opentracing::SpanContext>>
{
    return opentracing::make_unexpected(opentracing::invalid_carrier_error);
}

auto span_tracer::Extract(const opentracing::TextMapReader& reader) const
    -> opentracing::expected<std::unique_ptr<opentracing::SpanContext>>
{
    auto found = reader.LookupKey(toStringView(header_names::traceparent));
    auto parsed = found ? trace_context::parse({ found->data(), found->size() }) : std::nullopt;
    if (!parsed)
        return std::unique_ptr<opentracing::SpanContext> {};
    return std::unique_ptr<opentracing::SpanContext>(std::make_unique<trace_context>(*parsed));
}

auto span_tracer::Extract(const opentracing::HTTPHeadersReader& reader) const
    -> opentracing::expected<std::unique_ptr<opentracing::SpanContext>>
{
    return Extract(static_cast<const opentracing::TextMapReader&>(reader));
}

} // namespace gypsumhub

// NOLINTEND(readability-identifier-naming)
