#pragma once

#include "gypsumhub/config/config_revision.h"
#include "gypsumhub/config/configuration.h"
#include "gypsumhub/config/revision_transfer.h"
#include "gypsumhub/fleet/configuration_source.h"

#include <deque>
#include <functional>
#include <memory>

namespace gypsumhub {

/// The verified current revision of a node and the configuration built from it. Only moves forward along one history.
/// Single-threaded; the objects that it returns are immutable.
class verified_configuration final : public configuration_source {
public:
    /// Called after a revision became the current one, from within the call that did so.
    using configuration_listener = std::function<void(std::shared_ptr<const configuration>)>;

    explicit verified_configuration(configuration_listener);

    auto current() const -> revision_id override;
    auto partsTo(const revision_id& wanted, const revision_id& have) const -> std::unique_ptr<revision_part_source> override;
    auto beginUpdate(const revision_id& wanted) -> std::unique_ptr<revision_part_sink> override;

    /// The current revision, or null.
    auto revision() const -> const std::shared_ptr<const config_revision>& { return m_revision; }
    /// The current configuration, or null.
    auto config() const -> const std::shared_ptr<const configuration>& { return m_config; }

    /// Makes a revision the current one that was read from the store and verified against `held`. Returns false when it is no later
    /// than the current one. Fails with `ConfigurationForked` when the current one is not in its history, and with
    /// `ConfigurationChunkMissing` when that cannot be verified because the current revision changed meanwhile; the caller then
    /// loads again.
    auto adopt(std::shared_ptr<const config_revision>, const revision_id& held) -> leaf::result<bool>;

private:
    class part_sink;

    auto putInForce(revision_update) -> leaf::result<void>;

    configuration_listener m_listener;
    std::shared_ptr<const config_revision> m_revision;
    std::shared_ptr<const configuration> m_config;
    /// The latest revisions, kept for transfers that began before the newest one; unchanged chunks are shared between them.
    std::deque<std::shared_ptr<const config_revision>> m_kept;
};

} // namespace gypsumhub
