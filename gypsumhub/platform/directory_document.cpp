#include "gypsumhub/platform/directory_document.h"

#include "gypsumhub/config/section_reader.h"
#include "gypsumhub/platform/wire_names.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace gypsumhub {

namespace {

    auto parameter(std::string_view query, std::string_view name) -> std::string
    {
        while (!query.empty()) {
            auto end = std::min(query.find('&'), query.size());
            auto pair = query.substr(0, end);
            if (pair.starts_with(name) && pair.substr(name.size()).starts_with('='))
                return std::string(pair.substr(name.size() + 1));
            query.remove_prefix(std::min(end + 1, query.size()));
        }
        return {};
    }

} // namespace

auto readDirectoryQuery(std::string_view target) -> std::optional<directory_query>
{
    auto questionMark = target.find('?');
    if (target.substr(0, questionMark) != wire_names::directoryPath || questionMark == std::string_view::npos)
        return std::nullopt;
    auto query = target.substr(questionMark + 1);
    return directory_query { parameter(query, "name"), parameter(query, "data_centre") };
}

auto formatDirectoryAnswer(std::span<const endpoint> nodes, duration lifetime) -> std::string
{
    auto addresses = boost::json::array {};
    for (auto& node : nodes)
        addresses.emplace_back(formatEndpoint(node));
    return boost::json::serialize(boost::json::object { { "addresses", addresses }, { "lifetime", std::to_string(lifetime.milliseconds()) + "ms" } });
}

} // namespace gypsumhub
