#include "gypsumhub/config/route_table_check.h"

#include <algorithm>
#include <set>

namespace gypsumhub {

namespace {

    // Request limits are kept over windows of 5 s. A customer with a lower rate may get no request in a whole window.
    constexpr auto leastRequestsPerSecond = 1.0 / 5;

    using warning_list = std::vector<std::string>;

    // Nodes compare the text before the first colon of the field `Host` with the host of the route, byte by byte.
    auto canOccurInHost(char byte) -> bool
    {
        auto isBetween = [&](char first, char last) { return byte >= first && byte <= last; };
        return isBetween('a', 'z') || isBetween('A', 'Z') || isBetween('0', '9') || byte == '-' || byte == '.' || byte == '_';
    }

    // Nodes refuse requests with any other byte in the target. The path ends before a question mark.
    auto canOccurInPath(char byte) -> bool
    {
        return byte > 0x20 && byte < 0x7f && byte != '#' && byte != '?';
    }

    auto checkMatch(const route& checked, const caller_limits& limits, const std::string& where, warning_list& warnings) -> void
    {
        if (!std::ranges::all_of(checked.host, canOccurInHost))
            warnings.push_back(where + "never matches: host \"" + checked.host + "\" contains a character that cannot occur in the host of a request");
        if (!std::ranges::all_of(checked.prefix, canOccurInPath))
            warnings.push_back(where + "never matches: prefix \"" + checked.prefix + "\" contains a character that cannot occur in the path of a request");
        if (checked.host.size() + checked.prefix.size() >= limits.headerBytes)
            warnings.push_back(where + "never matches: host and prefix are longer than the header limit");
    }

    auto checkRoute(const route& checked, const caller_limits& limits, warning_list& warnings) -> void
    {
        auto where = "route \"" + checked.name + "\": ";
        checkMatch(checked, limits, where, warnings);
        for (auto& part : checked.services) {
            if (part.weight == 0)
                warnings.push_back(where + "split part \"" + part.service + "\" has weight 0");
        }
        if (checked.latencyTarget > checked.timeLimit)
            warnings.push_back(where + "latency target is above the time limit");
    }

    auto checkServices(const route_table& table, warning_list& warnings) -> void
    {
        auto used = std::set<std::string_view> {};
        for (auto& entry : table.routes()) {
            for (auto& part : entry.services)
                used.insert(part.service);
        }
        for (auto& service : table.services()) {
            if (!used.contains(service))
                warnings.push_back("service \"" + service + "\": no route uses it");
        }
    }

    auto checkCustomer(const customer& checked, warning_list& warnings) -> void
    {
        auto where = "customer \"" + checked.name + "\": ";
        if (checked.keys.empty())
            warnings.push_back(where + "has no keys");
        if (checked.burst > 0 && !checked.isLimited())
            warnings.push_back(where + "has a burst but no rate");
        if (checked.isLimited() && checked.requestsPerSecond < leastRequestsPerSecond)
            warnings.push_back(where + "rate is below one request per window of 5 s");
    }

    auto checkLimits(const caller_limits& limits, warning_list& warnings) -> void
    {
        if (limits.headerBytes > limits.bodyBytes)
            warnings.push_back("limits: header limit is above the body limit");
        if (limits.idleLimit < limits.headerReadLimit)
            warnings.push_back("limits: idle limit is below the header read limit");
    }

} // namespace

auto warningsAbout(const route_table& table) -> std::vector<std::string>
{
    auto warnings = warning_list {};
    for (auto& entry : table.routes())
        checkRoute(entry, table.limits(), warnings);
    checkServices(table, warnings);
    for (auto& entry : table.customers())
        checkCustomer(entry, warnings);
    if (table.hasCustomers() && !table.routes().empty() && std::ranges::all_of(table.routes(), &route::isPublic))
        warnings.push_back("customers: all routes are public, so that no request needs a key");
    checkLimits(table.limits(), warnings);
    return warnings;
}

} // namespace gypsumhub
