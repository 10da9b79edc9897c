#pragma once

#include "gypsumhub/config/route_table.h"
#include "gypsumhub/core/fault.h"

#include <memory>
#include <string>

namespace gypsumhub {

/// Builds and checks a route table. `build` may be called once.
class route_table_builder {
public:
    auto setVersion(uint64_t) -> route_table_builder&;
    auto setLimits(const caller_limits&) -> route_table_builder&;
    auto addService(std::string name) -> route_table_builder&;
    auto addRoute(route) -> route_table_builder&;
    auto addCustomer(customer) -> route_table_builder&;

    /// Returns the finished table. Fails with `ConfigurationInvalid` and all faults: an empty host, a prefix that does not begin and end with a
    /// slash, two routes with the same host and prefix, an unknown service, a weight sum of 0, a timeout or latency target out of range,
    /// a maximum of 0 attempts, two customers with the same name or key, an empty key, or a limit below 0. No message contains a key.
    auto build() -> leaf::result<std::shared_ptr<const route_table>>;

private:
    auto check(const route&) -> void;
    auto indexCustomers() -> void;
    auto report(const route&, std::string message) -> void;
    auto report(const customer&, std::string message) -> void;

    std::shared_ptr<route_table> m_table { std::make_shared<route_table>() };
    fault_list m_faults;
};

} // namespace gypsumhub
