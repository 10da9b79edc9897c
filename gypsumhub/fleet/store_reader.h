#pragma once

#include "gypsumhub/core/random_generator.h"
#include "gypsumhub/store/configuration_loader.h"
#include "gypsumhub/store/store.h"

#include <cstdint>
#include <memory>

namespace gypsumhub {

/// What a `store_reader` needs to know and whom it tells. Called on the reader's thread.
class store_reader_host {
public:
    virtual ~store_reader_host() = default;
    /// Whether this node should read the store now.
    virtual auto shouldReadStore() -> bool = 0;
    /// The revision that the node holds, or null.
    virtual auto heldRevision() -> std::shared_ptr<const config_revision> = 0;
    /// The head was read and verified against `held`; `revision` is the same as `held` when there is nothing new, and null while
    /// the store has no configuration.
    virtual auto onStoreRevision(std::shared_ptr<const config_revision> revision, const revision_id& held) -> void = 0;
    /// Reading failed: 500 to 504 when the store's history was refused, 600 to 604 when the store cannot be used.
    virtual auto onStoreFault(const fault&) -> void = 0;
};

/// The loop around the store on a node that reads it: one watch on the head at a time, ended after a while by a plain read, so
/// that a watch gone silent or a store put back in time is found; failures are followed by a growing pause with jitter.
class store_reader {
public:
    struct settings {
        /// Longest wait for a watch; after it the head is read once.
        duration watchTime { seconds(20) };
        /// Longest time for the reads after a watch.
        duration readTime { seconds(10) };
        /// Between two looks at whether the node should read.
        duration idleTime { milliseconds(200) };
        duration firstPause { milliseconds(500) };
        duration longestPause { seconds(15) };
        /// Seed of the jitter.
        uint64_t seed { 1 };
    };

    /// The references must outlive the reader.
    store_reader(const settings&, store&, store_reader_host&);

    /// Does what is due at `now` (the store's clock) and returns when to call again. Blocks for a watch and the reads at most.
    auto step(time_point now) -> time_point;

private:
    auto read(time_point now) -> bool;
    auto pauseAfterFailure(time_point now) -> time_point;

    settings m_settings;
    configuration_loader m_loader;
    store_reader_host& m_host;
    random_generator m_random;
    uint32_t m_failures { 0 };
    /// Whether the head was read since the node began to read; the first time needs no watch.
    bool m_watching { false };
};

} // namespace gypsumhub
