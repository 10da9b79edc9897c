#pragma once

#include "gypsumhub/config/revision.h"
#include "gypsumhub/core/fault.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace gypsumhub {

/// The encoded parts that lead from one revision to another.
class revision_part_source {
public:
    virtual ~revision_part_source() = default;
    /// The revision that the parts lead to.
    virtual auto revision() const -> revision_id = 0;
    virtual auto count() const -> uint32_t = 0;
    /// One part; `index` is less than `count()`.
    virtual auto part(uint32_t index) const -> std::string = 0;
};

/// Assembles received parts on top of the revision that was current when the transfer began.
class revision_part_sink {
public:
    virtual ~revision_part_sink() = default;
    /// Adds a part. Fails with `ConfigurationInvalid` when it does not match the others.
    virtual auto put(uint32_t index, uint32_t count, std::string_view bytes) -> leaf::result<void> = 0;
    /// The index of the first missing part, or nothing when all parts are present.
    virtual auto firstMissing() const -> std::optional<uint32_t> = 0;
    /// Verifies everything and makes the revision the current one. On failure (codes 500 to 504) nothing changes.
    virtual auto finish() -> leaf::result<revision_id> = 0;
};

/// The verified configuration of this node, as `configuration_replicator` needs it.
class configuration_source {
public:
    virtual ~configuration_source() = default;
    /// The highest verified revision; number 0 when there is none yet.
    virtual auto current() const -> revision_id = 0;
    /// The parts that lead from `have` to `wanted`, or to the current revision when `wanted` is no longer kept. Null without a
    /// current revision.
    virtual auto partsTo(const revision_id& wanted, const revision_id& have) const -> std::unique_ptr<revision_part_source> = 0;
    /// Starts the assembly of the parts that lead from the current revision to `wanted`.
    virtual auto beginUpdate(const revision_id& wanted) -> std::unique_ptr<revision_part_sink> = 0;
};

} // namespace gypsumhub
