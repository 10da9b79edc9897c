#pragma once

#include "gypsumhub/config/config_revision.h"

#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace gypsumhub {

/// An origin whose operation id is derived from `name`.
auto sampleOrigin(std::string_view name) -> revision_origin;

/// The entries of `sampleRegisterText` and `sampleRulesText` as changes, sorted by key.
auto sampleChanges() -> std::vector<entry_change>;

/// Revision 1 with the sample documents.
auto sampleRevision() -> std::shared_ptr<const config_revision>;

/// A change that sets the request rate of one caller.
auto callerChange(std::string_view name, uint32_t requestsPerSecond) -> entry_change;

/// A child revision of `parent` that sets the request rate of one caller.
auto withCaller(const std::shared_ptr<const config_revision>& parent, std::string_view name, uint32_t requestsPerSecond) -> std::shared_ptr<const config_revision>;

} // namespace gypsumhub
