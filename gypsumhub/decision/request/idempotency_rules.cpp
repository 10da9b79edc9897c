#include "gypsumhub/decision/request/idempotency_rules.h"

#include <algorithm>
#include <charconv>
#include <string>
#include <vector>

namespace gypsumhub {

namespace {

    auto decodePercent(std::string_view path) -> std::string
    {
        auto decoded = std::string {};
        for (auto index = size_t { 0 }; index < path.size(); ++index) {
            auto value = 0;
            auto* digits = path.data() + index + 1;
            if (path[index] == '%' && index + 2 < path.size() && std::from_chars(digits, digits + 2, value, 16).ptr == digits + 2) {
                decoded += static_cast<char>(value);
                index += 2;
            } else
                decoded += path[index];
        }
        return decoded;
    }

    // Removes empty, "." and ".." segments (RFC 3986, 5.2.4).
    auto removeDotSegments(std::string_view path) -> std::string
    {
        auto segments = std::vector<std::string_view> {};
        for (auto rest = path; !rest.empty();) {
            auto end = std::min(rest.find('/'), rest.size());
            auto segment = rest.substr(0, end);
            rest.remove_prefix(std::min(end + 1, rest.size()));
            if (segment == ".." && !segments.empty())
                segments.pop_back();
            else if (!segment.empty() && segment != "." && segment != "..")
                segments.push_back(segment);
        }
        auto normalized = std::string {};
        for (auto segment : segments)
            normalized.append("/").append(segment);
        if (normalized.empty() || path.ends_with('/'))
            normalized += '/';
        return normalized;
    }

} // namespace

auto isNonIdempotent(const service_rules& rules, std::string_view method, std::string_view path) -> bool
{
    path = path.substr(0, path.find('?'));
    auto normalized = removeDotSegments(decodePercent(path));
    return std::ranges::any_of(rules.nonIdempotent, [&](const non_idempotent_pattern& pattern) {
        if (pattern.method != "*" && pattern.method != method)
            return false;
        return path.starts_with(pattern.pathPrefix) || normalized.starts_with(pattern.pathPrefix);
    });
}

} // namespace gypsumhub
