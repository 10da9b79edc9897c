#include "gypsumhub/gateway/caller_identity.h"

#include "gypsumhub/platform/wire_names.h"

#include <boost/beast/core/string.hpp>

namespace gypsumhub {

namespace {

    constexpr auto scheme = wire_names::keyScheme;

    // The key of the only Authorization field, or nullopt when there is none, or several, or one of another form.
    auto keyOf(const inbound_message& request) -> std::optional<std::string_view>
    {
        if (request.count(http::field::authorization) != 1)
            return std::nullopt;
        auto value = std::string_view(request[http::field::authorization]);
        if (value.size() <= scheme.size() || !beast::iequals(value.substr(0, scheme.size()), scheme) || value[scheme.size()] != ' ')
            return std::nullopt;
        auto start = value.find_first_not_of(' ', scheme.size());
        if (start == std::string_view::npos)
            return std::nullopt;
        return value.substr(start);
    }

} // namespace

auto identifyCaller(const inbound_message& request, bool isRelayed, const route& used, const route_table& routes) -> caller_identity
{
    if (isRelayed && request.count(relay_fields::customer) == 1) {
        auto name = std::string(request[relay_fields::customer]);
        auto* known = routes.customerNamed(name);
        return { std::move(name), known, true, false };
    }
    if (!routes.hasCustomers())
        return {};
    if (used.isPublic)
        return { {}, nullptr, true, false };
    auto key = keyOf(request);
    auto* holder = key ? routes.findCustomer(*key) : nullptr;
    return holder ? caller_identity { holder->name, holder, true, false, true } : caller_identity { {}, nullptr, true, true, key.has_value() };
}

} // namespace gypsumhub
