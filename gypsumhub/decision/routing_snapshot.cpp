#include "gypsumhub/decision/routing_snapshot.h"

#include "gypsumhub/core/hash.h"

#include <algorithm>

namespace gypsumhub {

auto routing_snapshot::findService(service_key key) const -> const service_view*
{
    auto keyOf = [](const service_view& view) { return view.spec->key; };
    auto found = std::ranges::lower_bound(services, key, {}, keyOf);
    if (found == services.end() || found->spec->key != key)
        return nullptr;
    return &*found;
}

auto routing_snapshot::findRoute(std::string_view path) const -> const service_view*
{
    if (!config)
        return nullptr;
    // The query is not part of the route.
    path = path.substr(0, path.find('?'));
    // Shortens the prefix by one path segment at a time, so the cost depends on the path's depth and not on the number of routes.
    while (!path.empty()) {
        auto route = config->routes.find(path);
        if (route != config->routes.end())
            return findService({ hashName(route->second.service) });
        auto slash = path.find_last_of('/');
        if (slash == std::string_view::npos)
            return nullptr;
        // "/a/" is tried before "/a", and "/" last.
        if (slash + 1 == path.size())
            path = path.substr(0, slash);
        else
            path = path.substr(0, slash + 1);
    }
    return nullptr;
}

} // namespace gypsumhub
