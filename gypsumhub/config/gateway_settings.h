#pragma once

#include "gypsumhub/config/configuration.h"
#include "gypsumhub/config/node_size.h"
#include "gypsumhub/config/selection_settings.h"
#include "gypsumhub/core/time_point.h"

#include <cstdint>
#include <string>
#include <vector>

namespace gypsumhub {

/// How the keys and limits of customers are enforced over the whole fleet.
struct customer_settings {
    /// No request runs that was sent later than this after its key was removed. Zero: not enforced.
    duration revocationLimit {};
    /// In any window of this length, a customer's requests may exceed its limit by a share of `limitOvershoot` and `limitSlack` requests.
    /// Zero: limits are not enforced.
    duration limitWindow {};
    double limitOvershoot { 0 };
    double limitSlack { 0 };
};

/// Settings of `gypsumhub gateway`, read from an INI file. Keys: docs/GATEWAY.md.
struct gateway_settings {
    std::string name;
    std::string dataCentre;
    std::string region;
    /// Capacity of this node; values that are not set are 0. A node without these values cannot alone provide a `directorySize` above 0.
    node_size size;
    /// Memory of the machine in MB. The default is that of the smallest machine.
    uint32_t memoryMegabytes { 160 };
    /// Name and region of every data centre of the deployment.
    std::vector<std::pair<std::string, std::string>> dataCentres;
    endpoint callerAddress;
    endpoint readinessAddress;
    endpoint directoryAddress;
    /// Receives the datagrams of other nodes.
    endpoint peerAddress;
    /// Port 0 when no metrics are served.
    endpoint metricsAddress;
    endpoint storeAddress;
    /// Shortest lease that the store grants.
    duration shortestLease { seconds(1) };
    /// Timeout of a shutdown, counted from SIGTERM.
    duration stopLimit { seconds(6) };
    /// Retry budget of the whole fleet in any window: a share of the requests plus a fixed number.
    double retryShare { 0.2 };
    double retryReserve { 60 };
    duration retryWindow { seconds(10) };
    /// How long callers may cache a directory answer.
    duration directoryLifetime { seconds(2) };
    /// A directory answer lists at least `directoryNodes` nodes of the caller's data centre, and more until their combined capacity reaches
    /// `directorySize`.
    uint32_t directoryNodes { 2 };
    node_size directorySize;
    selection_settings selection;
    customer_settings customers;
    /// Log lines per second; further lines are dropped and counted.
    uint32_t logLinesPerSecond { 200 };
    /// File descriptor that log lines are written to; not set by the file.
    int logDescriptor { 1 };
};

} // namespace gypsumhub
