#include "gypsumhub/operator/metric_set.h"

#include <prometheus/text_serializer.h>
#include <sstream>

namespace gypsumhub {

auto metric_set::addCounter(std::string_view name, std::string_view help, double value, const labels& names) -> metric_set&
{
    add(prometheus::MetricType::Counter, name, help, value, names);
    return *this;
}

auto metric_set::addGauge(std::string_view name, std::string_view help, double value, const labels& names) -> metric_set&
{
    add(prometheus::MetricType::Gauge, name, help, value, names);
    return *this;
}

auto metric_set::add(prometheus::MetricType type, std::string_view name, std::string_view help, double value, const labels& names) -> void
{
    auto fullName = "gypsumhub_" + std::string(name);
    auto& family = m_families[fullName];
    family.name = fullName;
    family.help = help;
    family.type = type;
    auto sample = prometheus::ClientMetric {};
    for (auto& [label, text] : names)
        sample.label.push_back({ std::string(label), std::string(text) });
    sample.counter.value = value;
    sample.gauge.value = value;
    family.metric.push_back(std::move(sample));
}

auto metric_set::toText() const -> std::string
{
    auto families = std::vector<prometheus::MetricFamily> {};
    for (auto& [name, family] : m_families)
        families.push_back(family);
    auto stream = std::ostringstream {};
    prometheus::TextSerializer {}.Serialize(stream, families);
    return stream.str();
}

} // namespace gypsumhub
