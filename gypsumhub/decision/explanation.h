#pragma once

#include "gypsumhub/decision/blackboard.h"

#include <string>

namespace gypsumhub {

/// Why each target of the service is in, demoted or out: one line a target, in order of key.
auto explainService(const blackboard&, service_key, time_point now) -> std::string;

} // namespace gypsumhub
