#pragma once

#include "gypsumhub/core/fault.h"
#include "gypsumhub/core/time_point.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace gypsumhub {

/// A value in the platform's key-value service.
struct store_entry {
    std::string key;
    std::string value;
    /// Revision of the last change of the key; the argument of a compare-and-swap. 0 means "absent".
    uint64_t modRevision { 0 };
};

/// The platform's key-value service as far as the product uses it. Calls block until `deadline` at the latest and
/// fail with codes 600 to 605; each call, and each waiting watch, counts as one against the store's rate.
class store {
public:
    virtual ~store() = default;

    /// The key's entry, or nothing when the key is absent.
    virtual auto get(std::string_view key, time_point deadline) -> leaf::result<std::optional<store_entry>> = 0;

    /// Writes `value` if the key's revision is still `expectedRevision`. Returns the new revision.
    /// `StoreCompareFailed` means not written; `StoreReplyLost` and `StoreTimeout` mean that it may have been.
    virtual auto compareAndSwap(std::string_view key, uint64_t expectedRevision, std::string_view value, time_point deadline)
        -> leaf::result<uint64_t>
        = 0;

    /// Removes the key; an absent key is no fault. Only for keys that nothing refers to any more.
    virtual auto remove(std::string_view key, time_point deadline) -> leaf::result<void> = 0;

    /// Takes or renews a lease named `name`, valid until the returned instant; nothing when another holds it.
    virtual auto acquireLease(std::string_view name, std::string_view holder, time_point validUntil, time_point deadline)
        -> leaf::result<std::optional<time_point>>
        = 0;

    /// Waits until the key's revision exceeds `afterRevision` or the deadline passes; nothing when it passed.
    virtual auto watch(std::string_view key, uint64_t afterRevision, time_point deadline)
        -> leaf::result<std::optional<store_entry>>
        = 0;
};

} // namespace gypsumhub
