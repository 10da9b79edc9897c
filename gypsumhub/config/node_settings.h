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
    /// Store endpoints, tried in order.
    std::vector<endpoint> storeAddresses;
    /// Endpoint of the platform's list of VMs; port 0 means that there is none.
    endpoint vmListAddress;
    /// Peers to learn from when the store cannot be reached.
    std::vector<endpoint> seedPeers;
    /// Keys that peers sign with; the first signs, all verify. At least 32 hexadecimal digits each.
    std::vector<std::string> peerKeys;
    uint32_t requestThreads { 2 };
    uint32_t maxConnections { 4096 };
    uint32_t maxHeaderBytes { 16 * 1024 };
    uint32_t maxBodyBytes { 8 * 1024 * 1024 };
    /// Answers up to this size are held whole before the first byte goes to the caller.
    uint32_t bufferedAnswerBytes { 256 * 1024 };
    /// Longest time for a request to arrive whole.
    duration requestReadLimit { seconds(10) };
    /// How long callers may keep the answer of `GET /v1/nodes`.
    duration answerLifetime { seconds(15) };
    /// Longest planned stop, counted from SIGTERM.
    duration stopLimit { seconds(60) };
    /// Path of the span log, or empty for none.
    std::string spanLog;
    /// Path of the log, or empty for standard error.
    std::string log;
};

} // namespace gypsumhub
