#pragma once

#include "gypsumhub/config/config_revision.h"
#include "gypsumhub/store/configuration_writer.h"

#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace gypsumhub {

/// Formats the first line of a document for `show`: a comment with the revision that the document was read from.
auto formatBaseLine(config_document, const revision_id&) -> std::string;

/// Reads the base revision from the first line of a file; nullopt when the line is not a base line. Fails with
/// `ConfigurationInvalid` when the base line belongs to the other document or has no number.
auto readBaseLine(config_document, std::string_view text, const std::string& path) -> leaf::result<std::optional<uint64_t>>;

/// Formats the document in force as INI, with its base line.
auto formatDocument(config_document, const revision_id&, std::span<const configuration_entry>) -> std::string;

/// Formats the changes of a dry run.
auto formatPlan(const accepted_change&) -> std::string;

/// Formats the changes of an accepted revision and its id.
auto formatAccepted(const accepted_change&) -> std::string;

/// Formats a table of revisions.
auto formatHistory(std::span<const revision_record>) -> std::string;

} // namespace gypsumhub
