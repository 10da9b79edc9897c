#pragma once

#include "gypsumhub/config/name_table.h"
#include "gypsumhub/config/revision.h"
#include "gypsumhub/config/service_rules.h"
#include "gypsumhub/core/strong_id.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace gypsumhub {

/// A numeric IP address and a port.
struct endpoint {
    std::string address;
    uint16_t port { 0 };

    auto operator<=>(const endpoint&) const = default;
};

/// One registered target VM of a service.
struct target_spec {
    std::string name;
    vm_key key;
    endpoint address;
    std::string dataCentre;
    /// Requests that the VM runs concurrently.
    uint16_t slots { 4 };

    auto operator==(const target_spec&) const -> bool = default;
};

/// One service with its targets and rules. Configurations share the services that did not change between them.
struct service_spec {
    std::string name;
    service_key key;
    service_rules rules;
    /// Sorted by name.
    std::vector<target_spec> targets;

    auto operator==(const service_spec&) const -> bool = default;
};

/// One registered proxy node.
struct node_spec {
    std::string name;
    node_key key;
    std::string dataCentre;
    /// Where callers connect.
    endpoint callerAddress;
    /// Where peers connect.
    endpoint peerAddress;

    auto operator==(const node_spec&) const -> bool = default;
};

/// One data centre and its region.
struct data_centre_spec {
    std::string name;
    std::string region;

    auto operator==(const data_centre_spec&) const -> bool = default;
};

/// Routes requests by path prefix to a service; the longest matching prefix applies.
struct route_spec {
    std::string pathPrefix;
    std::string service;

    auto operator==(const route_spec&) const -> bool = default;
};

/// A customer and its request rate limit.
struct caller_spec {
    std::string name;
    uint32_t requestsPerSecond { 0 };

    auto operator==(const caller_spec&) const -> bool = default;
};

/// Register and rules of one revision, complete and checked. Immutable. Maps are keyed by name. Unchanged services, and unchanged shards of
/// routes and callers, are shared with the configuration that this one was made from.
struct configuration {
    revision_id revision;
    std::map<std::string, data_centre_spec, std::less<>> dataCentres;
    std::map<std::string, std::shared_ptr<const service_spec>, std::less<>> services;
    std::map<std::string, node_spec, std::less<>> nodes;
    name_table<route_spec, &route_spec::pathPrefix> routes;
    name_table<caller_spec, &caller_spec::name> callers;
};

} // namespace gypsumhub
