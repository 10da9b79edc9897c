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

/// An IP address by number and a TCP port.
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
    /// Requests that the VM runs at once.
    uint16_t slots { 4 };

    auto operator==(const target_spec&) const -> bool = default;
};

/// One service with its targets and rules. Shared unchanged between revisions.
struct service_spec {
    std::string name;
    service_key key;
    service_rules rules;
    /// In order of name.
    std::vector<target_spec> targets;

    auto operator==(const service_spec&) const -> bool = default;
};

/// One entry node of the product, as registered.
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

/// One data centre and the region that it lies in.
struct data_centre_spec {
    std::string name;
    std::string region;

    auto operator==(const data_centre_spec&) const -> bool = default;
};

/// A path prefix that leads to a service; the longest matching prefix wins.
struct route_spec {
    std::string pathPrefix;
    std::string service;

    auto operator==(const route_spec&) const -> bool = default;
};

/// A customer and the request rate that it may reach.
struct caller_spec {
    std::string name;
    uint32_t requestsPerSecond { 0 };

    auto operator==(const caller_spec&) const -> bool = default;
};

/// Register and rules at one revision: immutable, complete, checked. Maps are keyed by name. What did not change since
/// the revision before is shared with it.
struct configuration {
    revision_id revision;
    std::map<std::string, data_centre_spec, std::less<>> dataCentres;
    std::map<std::string, std::shared_ptr<const service_spec>, std::less<>> services;
    std::map<std::string, node_spec, std::less<>> nodes;
    name_table<route_spec, &route_spec::pathPrefix> routes;
    name_table<caller_spec, &caller_spec::name> callers;
};

} // namespace gypsumhub
