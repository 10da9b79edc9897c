#pragma once

#include "gypsumhub/config/target_registration.h"
#include "gypsumhub/core/fault.h"
#include "gypsumhub/store/store.h"

namespace gypsumhub {

/// Reads what a target says of itself. `now` is an instant of the boot-time clock, from which the warm-up counts.
/// Fails with `ConfigurationInvalid` when the entry was not written by a target.
auto readRegistrationDocument(const store_entry&, time_point now) -> leaf::result<target_registration>;

/// Writes a registration so that another node reads it like the target's own entry.
auto writeRegistrationDocument(const target_registration&, time_point now) -> store_entry;

/// The target's id in its key in the store.
auto targetIdOf(std::string_view key) -> std::string;

} // namespace gypsumhub
