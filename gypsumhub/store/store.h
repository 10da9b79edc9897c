#pragma once

#include "gypsumhub/core/fault.h"
#include "gypsumhub/core/time_point.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace gypsumhub {

/// A key of the platform's key-value service with its value.
struct store_entry {
    std::string key;
    std::string value;
    /// Store revision of the key's last change; the expected revision of a compare-and-swap. 0 means that the key is absent.
    uint64_t modRevision { 0 };
};

/// The operations of the platform's key-value service that the configuration needs. Calls block until `deadline` at the latest and fail with
/// codes 600 to 605. Each call counts as one against the store's rate limit, also a watch that waits.
class store {
public:
    virtual ~store() = default;

    /// Reads the key's entry; nothing when the key is absent.
    virtual auto get(std::string_view key, time_point deadline) -> leaf::result<std::optional<store_entry>> = 0;

    /// Writes `value` if the key's revision is still `expectedRevision`. Returns the new revision.
    /// `StoreCompareFailed` means that the value was not written; after `StoreReplyLost` and `StoreTimeout` it may have been written.
    virtual auto compareAndSwap(std::string_view key, uint64_t expectedRevision, std::string_view value, time_point deadline)
        -> leaf::result<uint64_t>
        = 0;

    /// Removes the key; succeeds when it is absent. Only for keys that are no longer referenced.
    virtual auto remove(std::string_view key, time_point deadline) -> leaf::result<void> = 0;

    /// Acquires or renews the lease `name` and returns the instant until which it is valid; nothing when another holder has it.
    virtual auto acquireLease(std::string_view name, std::string_view holder, time_point validUntil, time_point deadline)
        -> leaf::result<std::optional<time_point>>
        = 0;

    /// Waits until the key's revision exceeds `afterRevision` or the deadline passes; nothing when it passed.
    virtual auto watch(std::string_view key, uint64_t afterRevision, time_point deadline)
        -> leaf::result<std::optional<store_entry>>
        = 0;
};

} // namespace gypsumhub
