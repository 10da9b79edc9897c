#pragma once

#include "gypsumhub/store/store.h"
#include "gypsumhub/store/store_clock.h"

namespace gypsumhub {

/// Decorates a store so that calls wait for its call budget: a call that fails with `StoreBudgetSpent` is retried until its deadline. For
/// operators' tools and for loading a whole configuration.
class pacing_store final : public store {
public:
    /// `inner` must outlive this object.
    pacing_store(store& inner, store_clock);

    auto get(std::string_view key, time_point deadline) -> leaf::result<std::optional<store_entry>> override;
    auto compareAndSwap(std::string_view key, uint64_t expectedRevision, std::string_view value, time_point deadline) -> leaf::result<uint64_t> override;
    auto remove(std::string_view key, time_point deadline) -> leaf::result<void> override;
    auto acquireLease(std::string_view name, std::string_view holder, time_point validUntil, time_point deadline)
        -> leaf::result<std::optional<time_point>> override;
    auto watch(std::string_view key, uint64_t afterRevision, time_point deadline) -> leaf::result<std::optional<store_entry>> override;

private:
    store& m_inner;
    store_clock m_clock;
};

} // namespace gypsumhub
