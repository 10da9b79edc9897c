#pragma once

#include "gypsumhub/config/configuration.h"

#include <memory>
#include <string>

namespace gypsumhub {

/// A small valid register: two data centres, the services bookdesk and feeledger with a route each, four VMs, two nodes and a caller.
auto sampleRegisterText() -> std::string;

/// Rules for the services of `sampleRegisterText`.
auto sampleRulesText() -> std::string;

/// The configuration of both texts at revision 1.
auto sampleConfiguration() -> std::shared_ptr<const configuration>;

} // namespace gypsumhub
