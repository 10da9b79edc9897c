#pragma once

#include "gypsumhub/config/config_revision.h"

#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace gypsumhub {

/// An origin whose operation id is made from `name`.
auto sampleOrigin(std::string_view name) -> revision_origin;

/// The entries of `sampleRegisterText` and `sampleRulesText`, all as changes.
auto sampleChanges() -> std::vector<entry_change>;

/// Revision 1 with the sample documents.
auto sampleRevision() -> std::shared_ptr<const config_revision>;

/// A change of one caller's request rate.
auto callerChange(std::string_view name, uint32_t requestsPerSecond) -> entry_change;

/// The child of `parent` that sets one caller's rate.
auto withCaller(const std::shared_ptr<const config_revision>& parent, std::string_view name, uint32_t requestsPerSecond) -> std::shared_ptr<const config_revision>;

} // namespace gypsumhub
