#include "gypsumhub/config/route_table_builder.h"

#include <algorithm>
#include <cmath>

namespace gypsumhub {

namespace {

    // With a longer limit, requests would stay in memory after their callers have left.
    constexpr auto longestTimeLimit = minutes(10);

} // namespace

auto route_table_builder::setVersion(uint64_t version) -> route_table_builder&
{
    m_table->m_version = version;
    return *this;
}

auto route_table_builder::setLimits(const caller_limits& limits) -> route_table_builder&
{
    m_table->m_limits = limits;
    return *this;
}

auto route_table_builder::addService(std::string name) -> route_table_builder&
{
    m_table->m_services.insert(std::move(name));
    return *this;
}

auto route_table_builder::addRoute(route added) -> route_table_builder&
{
    m_table->m_routes.push_back(std::move(added));
    return *this;
}

auto route_table_builder::addCustomer(customer added) -> route_table_builder&
{
    m_table->m_customers.push_back(std::move(added));
    return *this;
}

auto route_table_builder::build() -> leaf::result<std::shared_ptr<const route_table>>
{
    auto& table = *m_table;
    for (auto index = uint32_t { 0 }; index < table.m_routes.size(); ++index) {
        check(table.m_routes[index]);
        table.m_byHost[table.m_routes[index].host].push_back(index);
    }
    for (auto& [host, indices] : table.m_byHost) {
        std::ranges::sort(indices, [&](uint32_t a, uint32_t b) {
            auto &first = table.m_routes[a].prefix, &second = table.m_routes[b].prefix;
            return first.size() != second.size() ? first.size() > second.size() : first < second;
        });
        for (auto position = size_t { 1 }; position < indices.size(); ++position) {
            if (table.m_routes[indices[position]].prefix == table.m_routes[indices[position - 1]].prefix)
                report(table.m_routes[indices[position]], "host and prefix are already used by route \"" + table.m_routes[indices[position - 1]].name + "\"");
        }
    }
    indexCustomers();
    if (!m_faults.faults.empty())
        return leaf::new_error(std::move(m_faults));
    return std::shared_ptr<const route_table>(std::move(m_table));
}

auto route_table_builder::check(const route& checked) -> void
{
    if (checked.host.empty())
        report(checked, "host is empty");
    if (!checked.prefix.starts_with('/') || !checked.prefix.ends_with('/'))
        report(checked, "prefix \"" + checked.prefix + "\" does not begin and end with a slash");
    if (checked.timeLimit <= duration {} || checked.timeLimit > longestTimeLimit)
        report(checked, "time limit is not above 0 and at most 10 minutes");
    if (checked.latencyTarget <= duration {})
        report(checked, "latency target is not positive");
    if (checked.maxAttempts == 0)
        report(checked, "maximum number of attempts is 0");
    auto weights = uint64_t { 0 };
    for (auto& part : checked.services) {
        weights += part.weight;
        if (!m_table->m_services.contains(part.service))
            report(checked, "service \"" + part.service + "\" does not exist");
    }
    if (weights == 0)
        report(checked, "sum of the service weights is 0");
}

auto route_table_builder::indexCustomers() -> void
{
    auto isLimitValid = [](double value) { return std::isfinite(value) && value >= 0; };
    auto& table = *m_table;
    for (auto index = uint32_t { 0 }; index < table.m_customers.size(); ++index) {
        auto& checked = table.m_customers[index];
        if (checked.name.empty())
            report(checked, "name is empty");
        if (!table.m_byCustomer.emplace(checked.name, index).second)
            report(checked, "name is already used by another customer");
        if (!isLimitValid(checked.requestsPerSecond) || !isLimitValid(checked.burst))
            report(checked, "rate or burst is not a number of at least 0");
        for (auto position = size_t { 0 }; position < checked.keys.size(); ++position) {
            auto& key = checked.keys[position];
            auto number = "key " + std::to_string(position + 1);
            if (key.empty())
                report(checked, number + " is empty");
            auto [known, isNew] = table.m_byKey.emplace(key, index);
            // A customer may list a key twice.
            if (!isNew && known->second != index)
                report(checked, number + " is already a key of customer \"" + table.m_customers[known->second].name + "\"");
        }
    }
}

auto route_table_builder::report(const customer& checked, std::string message) -> void
{
    m_faults.faults.push_back({ result_code::ConfigurationInvalid, "customer \"" + checked.name + "\": " + std::move(message) });
}

auto route_table_builder::report(const route& checked, std::string message) -> void
{
    m_faults.faults.push_back({ result_code::ConfigurationInvalid, "route \"" + checked.name + "\": " + std::move(message) });
}

} // namespace gypsumhub
