#pragma once

#include "gypsumhub/config/configuration.h"
#include "gypsumhub/core/time_point.h"

#include <cstdint>
#include <string>
#include <vector>

namespace gypsumhub {

/// Settings of `gypsumhub serve`, read once from an INI file. Keys: docs/OPERATORS.md.
struct node_settings {
    std::string name;
    std::string dataCentre;
    endpoint callerAddress;
    endpoint peerAddress;
    endpoint operatorAddress;
    /// Store endpoints in order of preference at the start; later the one that answered last comes first.
    std::vector<endpoint> storeAddresses;
    /// Endpoint of the platform's list of VMs; port 0 when the list is not used.
    endpoint vmListAddress;
    /// Peers that the node connects to at its start. They supply the configuration when the store cannot be reached.
    std::vector<endpoint> seedPeers;
    /// Keys that authenticate messages between peers: the first one signs, all of them verify. Each has at least 32 hexadecimal digits.
    std::vector<std::string> peerKeys;
    uint32_t requestThreads { 2 };
    uint32_t maxConnections { 4096 };
    uint32_t maxHeaderBytes { 16 * 1024 };
    uint32_t maxBodyBytes { 8 * 1024 * 1024 };
    /// Answers up to this size are buffered completely before the first byte is sent to the caller.
    uint32_t bufferedAnswerBytes { 256 * 1024 };
    /// Timeout for receiving a complete request.
    duration requestReadLimit { seconds(10) };
    /// How long callers may cache the answer to `GET /v1/nodes`.
    duration answerLifetime { seconds(15) };
    /// Timeout of a shutdown, counted from SIGTERM.
    duration stopLimit { seconds(60) };
    /// Path of the span log; empty when no spans are written.
    std::string spanLog;
    /// Path of the log; empty for standard error.
    std::string log;
};

} // namespace gypsumhub
