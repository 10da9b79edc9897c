#pragma once

#include "gypsumhub/config/revision_header.h"
#include "gypsumhub/core/fault.h"

#include <span>

namespace gypsumhub {

/// Checks that `next` is the direct child of `verified`. Fails with `ConfigurationRolledBack` when its number is
/// smaller, with `ConfigurationForked` when its history differs, and with `ConfigurationChunkMissing` when records between
/// the two are missing, so that neither is known.
auto verifyChild(const revision_id& verified, const revision_record& next) -> leaf::result<void>;

/// Checks that `chain`, oldest first, leads from `verified` to its last record without a gap; `verified` number 0 takes
/// any beginning. Fails as `verifyChild` does.
auto verifyChain(const revision_id& verified, std::span<const revision_record> chain) -> leaf::result<void>;

/// Checks what a head's number and hash alone show against `verified`: an older number is `ConfigurationRolledBack`, another
/// hash under the same number `ConfigurationForked`.
auto checkHead(const revision_id& verified, const revision_id& head) -> leaf::result<void>;

} // namespace gypsumhub
