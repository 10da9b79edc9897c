#pragma once

#include "gypsumhub/core/random_generator.h"
#include "gypsumhub/store/configuration_loader.h"
#include "gypsumhub/store/store.h"

#include <cstdint>
#include <memory>

namespace gypsumhub {

/// Interface of a `store_reader` to its node. Called on the reader's thread.
class store_reader_host {
public:
    virtual ~store_reader_host() = default;
    /// Whether this node should read the store now.
    virtual auto shouldReadStore() -> bool = 0;
    /// The revision that the node has in force, or null.
    virtual auto heldRevision() -> std::shared_ptr<const config_revision> = 0;
    /// The head was read and verified against `held`. `revision` equals `held` when there is nothing newer and is null while the
    /// store has no configuration.
    virtual auto onStoreRevision(std::shared_ptr<const config_revision> revision, const revision_id& held) -> void = 0;
    /// Reading failed: 500 to 504 when the store's history was refused, 600 to 604 when the store cannot be used.
    virtual auto onStoreFault(const fault&) -> void = 0;
};

/// Reads the store while `store_reader_host::shouldReadStore` is true: one watch on the head at a time, followed after a timeout
/// by a plain read, which detects a silent watch or a rolled-back store. Failures are followed by exponential backoff with jitter.
class store_reader {
public:
    /// Timeouts, intervals and backoff.
    struct settings {
        /// Timeout of a watch, after which the head is read once.
        duration watchTimeout { seconds(20) };
        /// Timeout of the reads after a watch.
        duration readTimeout { seconds(10) };
        /// Time between two checks whether the node should read the store.
        duration pollInterval { milliseconds(200) };
        duration initialBackoff { milliseconds(500) };
        duration maxBackoff { seconds(15) };
        /// Seed of the jitter.
        uint64_t seed { 1 };
    };

    /// The references must outlive the reader.
    store_reader(const settings&, store&, store_reader_host&);

    /// Does the work due at `now` (the store's clock) and returns when to call again. Blocks for at most one watch and its reads.
    auto step(time_point now) -> time_point;

private:
    auto read(time_point now) -> bool;
    auto scheduleRetry(time_point now) -> time_point;

    settings m_settings;
    configuration_loader m_loader;
    store_reader_host& m_host;
    random_generator m_random;
    uint32_t m_failures { 0 };
    /// Whether the next read starts with a watch: the last read succeeded. The first read and reads after a failure do not wait.
    bool m_watching { false };
};

} // namespace gypsumhub
