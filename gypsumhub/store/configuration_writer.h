#pragma once

#include "gypsumhub/config/config_revision.h"
#include "gypsumhub/store/configuration_loader.h"
#include "gypsumhub/store/revision_publisher.h"
#include "gypsumhub/store/store.h"
#include "gypsumhub/store/store_clock.h"

#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace gypsumhub {

/// The content of a document that an operator proposes.
struct document_proposal {
    config_document document { config_document::Register };
    /// All entries of the document, sorted by key.
    std::vector<configuration_entry> desired;
    /// Number of the revision that the operator edited; the current one when absent.
    std::optional<uint64_t> baseRevision;
    revision_origin origin;
};

/// The result of an accepted change, or of a dry run.
struct accepted_change {
    /// The revision that the change was applied to; null for the first one.
    std::shared_ptr<const config_revision> parent;
    /// The new revision; equal to `parent` when nothing changed.
    std::shared_ptr<const config_revision> revision;
    std::vector<entry_change> changes;
    /// How often the change was retried because another operator's change was accepted in between.
    uint32_t commitRetries { 0 };
};

/// Applies operators' changes: reads the current revision, merges, checks the resulting configuration, and publishes it with a
/// compare-and-swap of the head. Concurrent changes of other entries are merged. A concurrent change of the same entry fails with
/// `ConfigurationConflict` and one fault per entry, which shows its three versions.
///
/// Fails with `StoreReplyLost` and the operation id when it is unknown whether the change was accepted.
class configuration_writer {
public:
    /// Limits on the history and on retries.
    struct settings {
        /// Number of revisions that are kept; older records, manifests and chunks are removed.
        uint32_t keptRevisions { 512 };
        /// Limit on attempts to commit a change while other operators' changes are accepted first.
        uint32_t maxCommitAttempts { 16 };
    };

    configuration_writer(store&, settings, store_clock);

    /// Makes the proposed document current.
    auto apply(const document_proposal&, time_point deadline) -> leaf::result<accepted_change>;
    /// Does the same as `apply` but writes nothing.
    auto dryRun(const document_proposal&, time_point deadline) -> leaf::result<accepted_change>;
    /// Creates a new revision with the content of revision `number`.
    auto rollBack(uint64_t number, const revision_origin&, time_point deadline) -> leaf::result<accepted_change>;
    /// Records of the latest revisions, newest first, at most `limit`.
    auto history(uint32_t limit, time_point deadline) -> leaf::result<std::vector<revision_record>>;
    /// Writes a revision that the fleet has verified into a store that was restored to an earlier state or whose history was replaced.
    auto reinstate(const config_revision&, time_point deadline) -> leaf::result<void>;

private:
    /// Computes the changes to apply to the given revision.
    using planner = std::function<leaf::result<std::vector<entry_change>>(const std::shared_ptr<const config_revision>&)>;

    auto change(const planner&, const revision_origin&, bool shouldPublish, time_point deadline) -> leaf::result<accepted_change>;
    auto planDocument(const document_proposal&, const std::shared_ptr<const config_revision>& current, time_point deadline) -> leaf::result<std::vector<entry_change>>;
    auto loadRevision(uint64_t number, const std::shared_ptr<const config_revision>& current, time_point deadline) -> leaf::result<std::shared_ptr<const config_revision>>;

    settings m_settings;
    store_clock m_clock;
    configuration_loader m_loader;
    revision_publisher m_publisher;
};

} // namespace gypsumhub
