#include "gypsumhub/gateway/start_report.h"

#include <boost/json/object.hpp>

namespace gypsumhub {

namespace {

    constexpr auto reportInterval = seconds(2);

    template <typename Counts>
    auto objectOf(const Counts& counts) -> boost::json::object
    {
        auto object = boost::json::object {};
        for (auto& [name, count] : counts)
            object[name] = count;
        return object;
    }

} // namespace

start_report::start_report(gateway_context& context)
    : m_context(context)
    , m_nextReport(context.startedAt + reportInterval)
{
}

auto start_report::recordAddresses(time_point now) -> void
{
    m_addresses.arrivedAt = now;
}

auto start_report::update(time_point now) -> void
{
    if (m_isReady)
        return;
    if (m_context.routes && m_configuration.arrivedAt == never)
        m_configuration = { now, sourceOf("configuration") };
    if (m_context.hasTargetListing && m_registrations.arrivedAt == never)
        m_registrations = { now, sourceOf("registrations") };
    if (m_context.isInitialized() && m_addresses.arrivedAt != never) {
        m_isReady = true;
        m_context.counters.startTime = now - m_context.startedAt;
        write("ready", now);
    } else if (now >= m_nextReport) {
        m_nextReport = now + reportInterval;
        write("start_delayed", now);
    }
}

auto start_report::sourceOf(std::string_view storeCall) const -> std::string_view
{
    // Other nodes are asked before the store.
    return m_context.counters.storeCalls.contains(storeCall) ? "store" : "node";
}

auto start_report::lastNeed() const -> std::string_view
{
    if (m_addresses.arrivedAt == never)
        return "addresses";
    if (m_configuration.arrivedAt > m_registrations.arrivedAt || m_configuration.arrivedAt == never)
        return "configuration";
    return "registrations";
}

auto start_report::write(std::string_view event, time_point now) -> void
{
    auto fields = boost::json::object { { "took_ms", (now - m_context.startedAt).milliseconds() }, { "last", lastNeed() } };
    auto add = [&](std::string_view name, const need& need) {
        if (need.arrivedAt == never)
            return;
        fields[std::string(name) + "_ms"] = (need.arrivedAt - m_context.startedAt).milliseconds();
        if (!need.source.empty())
            fields[std::string(name) + "_from"] = need.source;
    };
    add("addresses", m_addresses);
    add("configuration", m_configuration);
    add("registrations", m_registrations);
    fields["store_calls"] = objectOf(m_context.counters.storeCalls);
    fields["store_failures"] = m_context.counters.storeFailures;
    fields["peer_listings"] = objectOf(m_context.counters.peerListings);
    m_context.log.write(log_class::Notable, event, std::move(fields));
}

} // namespace gypsumhub
