#include "gypsumhub/config/route_table_comparison.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <map>
#include <set>
#include <span>
#include <utility>

namespace gypsumhub {

namespace {

    using difference_list = std::vector<std::string>;

    /// A field of a route, a customer or the limits: its name, and its value as text.
    template <typename Item>
    struct compared_field {
        std::string_view name;
        std::string (*text)(const Item&);
    };

    auto toText(duration length) -> std::string
    {
        if (length.ns % seconds(1).ns == 0)
            return std::to_string(length / seconds(1)) + "s";
        if (length.ns % milliseconds(1).ns == 0)
            return std::to_string(length.milliseconds()) + "ms";
        return std::to_string(length / microseconds(1)) + "us";
    }

    auto toText(double number) -> std::string
    {
        auto digits = std::array<char, 32> {};
        auto end = std::to_chars(digits.data(), digits.data() + digits.size(), number).ptr;
        return { digits.data(), end };
    }

    // Eight hexadecimal digits, as in the document.
    auto versionText(uint64_t version) -> std::string
    {
        auto digits = std::array<char, 16> {};
        auto end = std::to_chars(digits.data(), digits.data() + digits.size(), version, 16).ptr;
        auto text = std::string(digits.data(), end);
        return std::string(8 - std::min<size_t>(8, text.size()), '0') + text;
    }

    // The order of the parts has no effect.
    auto splitText(const route& shown) -> std::string
    {
        auto parts = std::vector<std::string> {};
        for (auto& part : shown.services)
            parts.push_back(part.service + ":" + std::to_string(part.weight));
        std::ranges::sort(parts);
        auto text = std::string {};
        for (auto& part : parts)
            text += (text.empty() ? "" : ", ") + part;
        return text;
    }

    auto keyCountText(size_t count) -> std::string
    {
        return std::to_string(count) + (count == 1 ? " key" : " keys");
    }

    const compared_field<route> routeFields[] = {
        { "host", [](const route& shown) { return shown.host; } },
        { "prefix", [](const route& shown) { return shown.prefix; } },
        { "retryable", [](const route& shown) -> std::string { return shown.isRetryable ? "true" : "false"; } },
        { "maximum attempts", [](const route& shown) { return std::to_string(shown.maxAttempts); } },
        { "time limit", [](const route& shown) { return toText(shown.timeLimit); } },
        { "latency target", [](const route& shown) { return toText(shown.latencyTarget); } },
        { "priority", [](const route& shown) { return std::to_string(shown.priority); } },
        { "services", splitText },
        { "public", [](const route& shown) -> std::string { return shown.isPublic ? "true" : "false"; } },
    };

    const compared_field<customer> customerFields[] = {
        { "priority", [](const customer& shown) { return shown.priority ? std::to_string(*shown.priority) : "that of the route"; } },
        { "requests per second", [](const customer& shown) { return toText(shown.requestsPerSecond); } },
        { "burst", [](const customer& shown) { return toText(shown.burst); } },
    };

    const compared_field<caller_limits> limitFields[] = {
        { "header bytes", [](const caller_limits& shown) { return std::to_string(shown.headerBytes); } },
        { "body bytes", [](const caller_limits& shown) { return std::to_string(shown.bodyBytes); } },
        { "header read limit", [](const caller_limits& shown) { return toText(shown.headerReadLimit); } },
        { "idle limit", [](const caller_limits& shown) { return toText(shown.idleLimit); } },
    };

    template <typename Item>
    auto compareFields(const std::string& where, std::span<const compared_field<Item>> fields, const Item& before, const Item& after, difference_list& differences) -> void
    {
        for (auto& field : fields) {
            auto was = field.text(before);
            auto is = field.text(after);
            if (was != is)
                differences.push_back(where + ": " + std::string(field.name) + " was " + was + ", is " + is);
        }
    }

    auto labelOf(const route& shown) -> std::string
    {
        return "route \"" + shown.name + "\"";
    }

    auto placeOf(const route& shown) -> std::string
    {
        return "host " + shown.host + ", prefix " + shown.prefix;
    }

    // Names of routes may repeat. Routes of the same name are paired by host and prefix first, the rest in order.
    auto compareRoutes(const route_table& inForce, const route_table& next, difference_list& differences) -> void
    {
        auto unpaired = std::multimap<std::string_view, const route*> {};
        for (auto& entry : inForce.routes())
            unpaired.emplace(entry.name, &entry);
        auto compareWithUnpaired = [&](const route& after, auto isPair) {
            auto [first, last] = unpaired.equal_range(after.name);
            auto found = std::find_if(first, last, [&](auto& entry) { return isPair(*entry.second); });
            if (found == last)
                return false;
            compareFields<route>(labelOf(after), routeFields, *found->second, after, differences);
            unpaired.erase(found);
            return true;
        };
        auto moved = std::vector<const route*> {};
        for (auto& after : next.routes()) {
            if (!compareWithUnpaired(after, [&](const route& before) { return before.host == after.host && before.prefix == after.prefix; }))
                moved.push_back(&after);
        }
        for (auto* after : moved) {
            if (!compareWithUnpaired(*after, [](const route&) { return true; }))
                differences.push_back(labelOf(*after) + " was added (" + placeOf(*after) + ")");
        }
        for (auto& [name, before] : unpaired)
            differences.push_back(labelOf(*before) + " was removed (" + placeOf(*before) + ")");
    }

    auto compareServices(const route_table& inForce, const route_table& next, difference_list& differences) -> void
    {
        for (auto& service : next.services()) {
            if (!inForce.services().contains(service))
                differences.push_back("service \"" + service + "\" was added");
        }
        for (auto& service : inForce.services()) {
            if (!next.services().contains(service))
                differences.push_back("service \"" + service + "\" was removed");
        }
    }

    // A key may be listed twice.
    auto keysOf(const customer& holder) -> std::set<std::string_view>
    {
        return { holder.keys.begin(), holder.keys.end() };
    }

    auto compareKeys(const std::string& where, const customer& before, const customer& after, difference_list& differences) -> void
    {
        auto was = keysOf(before);
        auto is = keysOf(after);
        auto added = std::ranges::count_if(is, [&](auto key) { return !was.contains(key); });
        auto removed = std::ranges::count_if(was, [&](auto key) { return !is.contains(key); });
        if (added > 0 || removed > 0)
            differences.push_back(where + ": had " + keyCountText(was.size()) + ", has " + keyCountText(is.size()) + " (" + std::to_string(added) + " added, " + std::to_string(removed) + " removed)");
    }

    auto compareCustomers(const route_table& inForce, const route_table& next, difference_list& differences) -> void
    {
        for (auto& after : next.customers()) {
            auto where = "customer \"" + after.name + "\"";
            auto* before = inForce.customerNamed(after.name);
            if (!before) {
                differences.push_back(where + " was added with " + keyCountText(keysOf(after).size()));
                continue;
            }
            compareFields<customer>(where, customerFields, *before, after, differences);
            compareKeys(where, *before, after, differences);
        }
        for (auto& before : inForce.customers()) {
            if (!next.customerNamed(before.name))
                differences.push_back("customer \"" + before.name + "\" was removed with " + keyCountText(keysOf(before).size()));
        }
    }

} // namespace

auto differencesBetween(const route_table& inForce, const route_table& next) -> std::vector<std::string>
{
    auto differences = difference_list {};
    if (next.version() <= inForce.version())
        differences.push_back("version " + versionText(next.version()) + " is not higher than " + versionText(inForce.version()) + ", the version in force");
    compareRoutes(inForce, next, differences);
    compareServices(inForce, next, differences);
    compareCustomers(inForce, next, differences);
    compareFields<caller_limits>("limits", limitFields, inForce.limits(), next.limits(), differences);
    return differences;
}

} // namespace gypsumhub
