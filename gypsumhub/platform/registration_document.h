#pragma once

#include "gypsumhub/config/target_registration.h"
#include "gypsumhub/core/fault.h"
#include "gypsumhub/store/store.h"

namespace gypsumhub {

/// Parses the registration of a target. The remaining warm-up in it is counted from `now`, a time of the boot-time clock.
/// Fails with `ConfigurationInvalid` when the entry is not a valid registration.
auto readRegistrationDocument(const store_entry&, time_point now) -> leaf::result<target_registration>;

/// Writes a registration in the format of the target's own entry, for another node.
auto writeRegistrationDocument(const target_registration&, time_point now) -> store_entry;

/// Extracts the target id from a store key.
auto targetIdOf(std::string_view key) -> std::string;

} // namespace gypsumhub
