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

/// A document as an operator wants it to be.
struct document_proposal {
    config_document document { config_document::Register };
    /// All entries of the document, in order of key.
    std::vector<configuration_entry> desired;
    /// The revision that the operator edited; nothing means the one in force.
    std::optional<uint64_t> baseRevision;
    revision_origin origin;
};

/// A change that is in force, or would be.
struct accepted_change {
    /// The revision that the change was made to; null for the first.
    std::shared_ptr<const config_revision> parent;
    /// Equal to `parent` when there was nothing to change.
    std::shared_ptr<const config_revision> revision;
    std::vector<entry_change> changes;
    /// How often the change was made anew because another operator's was accepted in between.
    uint32_t commitRetries { 0 };
};

/// Makes operators' changes: reads the revision in force, merges, checks the whole, and publishes with a compare-and-swap of
/// the head. A change of other entries in between is merged; of the same entries it fails with `ConfigurationConflict`
/// and one fault for each entry with its three versions.
///
/// Failures that leave it open whether the change was accepted carry `StoreReplyLost` and name the operation id.
class configuration_writer {
public:
    struct settings {
        /// Revisions whose content is kept; older records, manifests and chunks are removed.
        uint32_t keptRevisions { 512 };
        /// How often a change is made anew after another operator's was accepted in between.
        uint32_t maxOvertaken { 16 };
    };

    configuration_writer(store&, settings, store_clock);

    /// Puts the document in force.
    auto apply(const document_proposal&, time_point deadline) -> leaf::result<accepted_change>;
    /// Does all of `apply` but the writing.
    auto dryRun(const document_proposal&, time_point deadline) -> leaf::result<accepted_change>;
    /// Makes a new revision with the content of revision `number`.
    auto rollBack(uint64_t number, const revision_origin&, time_point deadline) -> leaf::result<accepted_change>;
    /// Records of the latest revisions, newest first, at most `limit`.
    auto history(uint32_t limit, time_point deadline) -> leaf::result<std::vector<revision_record>>;
    /// Puts a revision that the fleet has verified back into a store that was put back in time or whose history was replaced.
    auto reinstate(const config_revision&, time_point deadline) -> leaf::result<void>;

private:
    /// Computes the changes to make to the revision in force.
    using planner = std::function<leaf::result<std::vector<entry_change>>(const std::shared_ptr<const config_revision>&)>;

    auto change(const planner&, const revision_origin&, bool writes, time_point deadline) -> leaf::result<accepted_change>;
    auto planDocument(const document_proposal&, const std::shared_ptr<const config_revision>& current, time_point deadline) -> leaf::result<std::vector<entry_change>>;
    auto loadAt(uint64_t number, const std::shared_ptr<const config_revision>& current, time_point deadline) -> leaf::result<std::shared_ptr<const config_revision>>;

    settings m_settings;
    store_clock m_clock;
    configuration_loader m_loader;
    revision_publisher m_publisher;
};

} // namespace gypsumhub
