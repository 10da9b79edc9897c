#pragma once

#include "gypsumhub/config/configuration.h"
#include "gypsumhub/config/node_size.h"
#include "gypsumhub/config/selection_settings.h"
#include "gypsumhub/core/time_point.h"

#include <cstdint>
#include <string>
#include <vector>

namespace gypsumhub {

/// Settings of `gypsumhub gateway`, read from an INI file. Keys: docs/GATEWAY.md.
struct gateway_settings {
    std::string name;
    std::string dataCentre;
    std::string region;
    /// Unset parts are 0, and a node of unknown size is never enough alone where the directory asks for some size.
    node_size size;
    /// Every data centre of the deployment with its region.
    std::vector<std::pair<std::string, std::string>> dataCentres;
    endpoint callerAddress;
    endpoint readinessAddress;
    endpoint directoryAddress;
    /// Datagrams between nodes.
    endpoint peerAddress;
    /// Port 0 means that no metrics are served.
    endpoint metricsAddress;
    endpoint storeAddress;
    /// Shortest lease that the store grants.
    duration shortestLease { seconds(1) };
    /// Longest planned stop, counted from SIGTERM.
    duration stopLimit { seconds(6) };
    /// Repeats allowed fleet-wide in any window: a share of the requests and a fixed number.
    double retryShare { 0.2 };
    double retryReserve { 60 };
    duration retryWindow { seconds(10) };
    /// How long callers may keep a directory answer.
    duration directoryLifetime { seconds(2) };
    /// A directory answer names so many nodes of the caller's data centre, or more until they have this size together.
    uint32_t directoryNodes { 2 };
    node_size directorySize;
    selection_settings selection;
    /// Log lines a second; more are dropped and counted.
    uint32_t logLinesPerSecond { 200 };
    /// Where log lines go; not a key of the file.
    int logDescriptor { 1 };
};

} // namespace gypsumhub
