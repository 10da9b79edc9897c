#pragma once

#include "gypsumhub/config/section_reader.h"
#include "gypsumhub/config/service_rules.h"

#include <string_view>

namespace gypsumhub {

/// Reads the rules of one service from a `[service NAME]` section of the rules document. Absent keys keep their defaults. The caller calls
/// `section_reader::finish`.
auto readServiceRules(section_reader&) -> service_rules;

/// The preference as the rules document spells it.
auto toString(ejection_preference) -> std::string_view;

} // namespace gypsumhub
