#pragma once

#include "gypsumhub/config/section_reader.h"
#include "gypsumhub/config/service_rules.h"

#include <string_view>

namespace gypsumhub {

/// Takes the rules of one service out of a `[service NAME]` section of the rules document. Absent keys keep their defaults.
auto readServiceRules(section_reader&) -> service_rules;

/// The value of `preference` in the rules document.
auto toString(ejection_preference) -> std::string_view;

} // namespace gypsumhub
