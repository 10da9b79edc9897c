#pragma once

#include "gypsumhub/config/configuration.h"

#include <memory>
#include <string>

namespace gypsumhub {

/// A small valid register: two data centres, services bookdesk and feeledger, four VMs, two nodes, a route each and a caller.
auto sampleRegisterText() -> std::string;

/// Rules for the services of `sampleRegisterText`.
auto sampleRulesText() -> std::string;

/// The configuration of the two texts at revision 1.
auto sampleConfiguration() -> std::shared_ptr<const configuration>;

} // namespace gypsumhub
