#pragma once

#include "gypsumhub/config/route_table.h"
#include "gypsumhub/core/fault.h"

#include <memory>
#include <set>
#include <string>

namespace gypsumhub {

/// Builds a route table and checks it as a whole.
class route_table_builder {
public:
    auto setVersion(uint64_t) -> route_table_builder&;
    auto setLimits(const caller_limits&) -> route_table_builder&;
    auto addService(std::string name) -> route_table_builder&;
    auto addRoute(route) -> route_table_builder&;

    /// The finished table. Fails with `ConfigurationInvalid` and every fault: a prefix without slashes, a host and prefix
    /// given twice, an unknown service, a weight sum of 0, a time limit that is not positive.
    auto build() -> leaf::result<std::shared_ptr<const route_table>>;

private:
    auto check(const route&) -> void;
    auto report(const route&, std::string message) -> void;

    std::shared_ptr<route_table> m_table { std::make_shared<route_table>() };
    std::set<std::string, std::less<>> m_services;
    fault_list m_faults;
};

} // namespace gypsumhub
