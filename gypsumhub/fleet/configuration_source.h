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

/// Parts on their way in, put together over the revision that was in force when it began.
class revision_part_sink {
public:
    virtual ~revision_part_sink() = default;
    /// Takes a part. Fails with `ConfigurationInvalid` when it cannot belong to the others.
    virtual auto put(uint32_t index, uint32_t count, std::string_view bytes) -> leaf::result<void> = 0;
    /// The first part that is missing, or nothing when all are here.
    virtual auto firstMissing() const -> std::optional<uint32_t> = 0;
    /// Verifies everything and puts the revision in force. Fails with codes 500 to 504 and changes nothing then.
    virtual auto finish() -> leaf::result<revision_id> = 0;
};

/// The verified configuration that this node holds, as far as spreading needs it.
class configuration_source {
public:
    virtual ~configuration_source() = default;
    /// The highest verified revision; number 0 when there is none yet.
    virtual auto current() const -> revision_id = 0;
    /// The way from `have` to `wanted`, or to the current revision when `wanted` is no longer at hand.
    virtual auto partsTo(const revision_id& wanted, const revision_id& have) const -> std::unique_ptr<revision_part_source> = 0;
    /// Begins to put together the parts that lead from the current revision to `wanted`.
    virtual auto beginUpdate(const revision_id& wanted) -> std::unique_ptr<revision_part_sink> = 0;
};

} // namespace gypsumhub
