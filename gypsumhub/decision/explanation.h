#pragma once

#include "gypsumhub/decision/blackboard.h"

#include <string>

namespace gypsumhub {

/// Describes why each target of the service is in its state: one line for the service, then one line per target in order of key.
auto explainService(const blackboard&, service_key, time_point now) -> std::string;

} // namespace gypsumhub
