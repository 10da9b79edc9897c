#pragma once

#include "gypsumhub/config/route_table.h"
#include "gypsumhub/gateway/relay_fields.h"
#include "gypsumhub/proxy/request_reader.h"

#include <optional>
#include <string>

namespace gypsumhub {

/// On whose behalf a request is served.
struct caller_identity {
    /// Name of the customer that holds the key; empty on public routes and without customers.
    std::string customerName;
    /// The customer of that name in the configuration of this node, or null. A relayed request may name one that is not known here.
    const customer* known { nullptr };
    /// The configuration has customers, or another node has named one. Fields about the customer that the caller sent are then removed.
    bool hasCustomers { false };
    /// The request needs a key of a customer and has no valid one.
    bool isRefused { false };
    /// Decided by a key that the request carries, which may have been removed by now. False for a request that another node has checked.
    bool dependsOnKey { false };
};

/// Finds the customer of a request by its key, or by the name that the relaying node states when `isRelayed`.
auto identifyCaller(const inbound_message&, bool isRelayed, const route&, const route_table&) -> caller_identity;

} // namespace gypsumhub
