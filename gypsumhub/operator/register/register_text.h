#pragma once

#include "gypsumhub/config/config_revision.h"
#include "gypsumhub/store/configuration_writer.h"

#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace gypsumhub {

/// The first line of a shown document: a comment that names the revision.
auto formatBaseLine(config_document, const revision_id&) -> std::string;

/// The revision that the first line of a file names; nothing when it names none. A line of the other document is a fault.
auto readBaseLine(config_document, std::string_view text, const std::string& path) -> leaf::result<std::optional<uint64_t>>;

/// The document in force with its base line.
auto formatDocument(config_document, const revision_id&, std::span<const configuration_entry>) -> std::string;

/// What a change would do.
auto formatPlan(const accepted_change&) -> std::string;

/// What a change has done.
auto formatAccepted(const accepted_change&) -> std::string;

/// A table of revisions.
auto formatHistory(std::span<const revision_record>) -> std::string;

} // namespace gypsumhub
