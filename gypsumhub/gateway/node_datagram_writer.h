#pragma once

#include "gypsumhub/gateway/node_datagram.h"
#include "gypsumhub/gateway/node_datagram_schema.h"

namespace gypsumhub {

/// Visitor that writes the content of a datagram into its Cap'n Proto message.
struct datagram_writer {
    wire::NodeDatagram::Builder datagram;
    time_point now;

    auto operator()(const node_hello& hello) -> void;
    auto operator()(const std::vector<peer_outcome>& outcomes) -> void;
    auto operator()(const std::vector<view_change>& changes) -> void;
    auto operator()(const std::vector<crash_report>& reports) -> void;
    auto operator()(const exonerations& exonerated) -> void;
    auto operator()(const std::vector<quarantined_request>& quarantines) -> void;
    auto operator()(const std::vector<target_limit>& limits) -> void;
    auto operator()(const permit_request& request) -> void;
    auto operator()(const permit_grant& grant) -> void;
    auto operator()(const std::vector<leaving_target>& leaving) -> void;
    auto operator()(const credit_request& request) -> void;
    auto operator()(const credit_grant& grant) -> void;
    auto operator()(const lease_request& request) -> void;
    auto operator()(const lease_grant& grant) -> void;
    auto operator()(const configuration_age_request& request) -> void;
    auto operator()(const configuration_age& answer) -> void;
};

} // namespace gypsumhub
