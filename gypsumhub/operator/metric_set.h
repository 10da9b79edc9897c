#pragma once

#include <map>
#include <prometheus/metric_family.h>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace gypsumhub {

/// Collects the samples of one scrape and formats them as Prometheus text.
class metric_set {
public:
    /// Names and values of labels.
    using labels = std::vector<std::pair<std::string_view, std::string_view>>;

    /// Adds a sample of a value that only increases. `name` excludes the `gypsumhub_` prefix.
    auto addCounter(std::string_view name, std::string_view help, double value, const labels& = {}) -> metric_set&;
    /// Adds a sample of a value that may decrease. `name` excludes the `gypsumhub_` prefix.
    auto addGauge(std::string_view name, std::string_view help, double value, const labels& = {}) -> metric_set&;

    /// All samples as text, metric families sorted by name.
    auto toText() const -> std::string;

private:
    auto add(prometheus::MetricType, std::string_view name, std::string_view help, double value, const labels&) -> void;

    std::map<std::string, prometheus::MetricFamily, std::less<>> m_families;
};

} // namespace gypsumhub
