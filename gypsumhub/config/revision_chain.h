#pragma once

#include "gypsumhub/config/revision_header.h"
#include "gypsumhub/core/fault.h"

#include <span>

namespace gypsumhub {

/// Checks that `next` is the direct child of `verified`. Fails with `ConfigurationRolledBack` when its number is smaller, with
/// `ConfigurationForked` when its history differs, and with `ConfigurationChunkMissing` when records between the two are missing, so that
/// the histories cannot be compared.
auto verifyChild(const revision_id& verified, const revision_record& next) -> leaf::result<void>;

/// Checks that `chain`, oldest first, continues `verified` without a gap. When the number of `verified` is 0, the chain may begin with any
/// record. Fails as `verifyChild` does.
auto verifyChain(const revision_id& verified, std::span<const revision_record> chain) -> leaf::result<void>;

/// Compares only the number and hash of a head with `verified`. Fails with `ConfigurationRolledBack` when the number is smaller, and with
/// `ConfigurationForked` when the hash differs under the same number.
auto checkHead(const revision_id& verified, const revision_id& head) -> leaf::result<void>;

} // namespace gypsumhub
