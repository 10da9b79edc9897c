#include "gypsumhub/config/route_table.h"

namespace gypsumhub {

auto route_table::find(std::string_view host, std::string_view path) const -> const route*
{
    for (auto index : routesOf(host)) {
        if (path.starts_with(m_routes[index].prefix))
            return &m_routes[index];
    }
    return nullptr;
}

auto route_table::routesOf(std::string_view host) const -> std::span<const uint32_t>
{
    auto found = m_byHost.find(host);
    if (found == m_byHost.end())
        return {};
    return found->second;
}

auto route_table::findCustomer(std::string_view key) const -> const customer*
{
    auto found = m_byKey.find(key);
    return found == m_byKey.end() ? nullptr : &m_customers[found->second];
}

auto route_table::customerNamed(std::string_view name) const -> const customer*
{
    auto found = m_byCustomer.find(name);
    return found == m_byCustomer.end() ? nullptr : &m_customers[found->second];
}

} // namespace gypsumhub
