#include "gypsumhub/fleet/verified_configuration.h"

#include <algorithm>
#include <utility>

namespace gypsumhub {

namespace {

    constexpr auto maxKeptRevisions = std::size_t { 8 };

    /// Adapts `revision_parts` to `revision_part_source`.
    class held_parts final : public revision_part_source {
    public:
        held_parts(const std::shared_ptr<const config_revision>& revision, const revision_id& have)
            : m_revision(revision->id)
            , m_parts(revision, have)
        {
        }

        auto revision() const -> revision_id override { return m_revision; }
        auto count() const -> uint32_t override { return m_parts.count(); }
        auto part(uint32_t index) const -> std::string override { return m_parts.part(index); }

    private:
        revision_id m_revision;
        revision_parts m_parts;
    };

} // namespace

/// Adapts `revision_assembler` to `revision_part_sink`.
class verified_configuration::part_sink final : public revision_part_sink {
public:
    part_sink(verified_configuration& owner, const revision_id& wanted)
        : m_owner(owner)
        , m_base(owner.current())
        , m_assembler(owner.m_revision, wanted)
    {
    }

    auto put(uint32_t index, uint32_t count, std::string_view bytes) -> leaf::result<void> override
    {
        return m_assembler.put(index, count, bytes);
    }

    auto firstMissing() const -> std::optional<uint32_t> override { return m_assembler.firstMissing(); }

    auto finish() -> leaf::result<revision_id> override
    {
        // Another revision from the store may have become current since the transfer began; this one was not verified against it.
        if (m_owner.current() != m_base)
            return failWith({ result_code::ConfigurationChunkMissing, "the revision in force changed during the transfer" });
        BOOST_LEAF_AUTO(update, m_assembler.finish());
        BOOST_LEAF_CHECK(m_owner.putInForce(std::move(update)));
        return m_owner.current();
    }

private:
    verified_configuration& m_owner;
    revision_id m_base;
    revision_assembler m_assembler;
};

verified_configuration::verified_configuration(configuration_listener listener)
    : m_listener(std::move(listener))
{
}

auto verified_configuration::current() const -> revision_id
{
    return m_revision ? m_revision->id : revision_id {};
}

auto verified_configuration::partsTo(const revision_id& wanted, const revision_id& have) const -> std::unique_ptr<revision_part_source>
{
    if (!m_revision)
        return nullptr;
    auto kept = std::ranges::find(m_kept, wanted, [](auto& revision) { return revision->id; });
    return std::make_unique<held_parts>(kept == m_kept.end() ? m_revision : *kept, have);
}

auto verified_configuration::beginUpdate(const revision_id& wanted) -> std::unique_ptr<revision_part_sink>
{
    return std::make_unique<part_sink>(*this, wanted);
}

auto verified_configuration::adopt(std::shared_ptr<const config_revision> next, const revision_id& held) -> leaf::result<bool>
{
    if (!next || next->id.number <= current().number)
        return false;
    if (held != current()) {
        // A revision from a peer came into force while the store was read; it must be in the history of the next one.
        auto isCurrent = [&](auto& record) { return record->id.number == current().number; };
        auto ancestor = std::ranges::find_if(next->recent, isCurrent);
        if (ancestor == next->recent.end())
            return failWith({ result_code::ConfigurationChunkMissing, "the revision in force changed while the store was read" });
        if ((*ancestor)->id != current())
            return failWith({ result_code::ConfigurationForked, "the store's history does not contain the revision in force" });
    }
    auto update = revision_update { next, {} };
    if (m_revision) {
        BOOST_LEAF_ASSIGN(update.changes, diffRevisions(*m_revision, *next));
    }
    BOOST_LEAF_CHECK(putInForce(std::move(update)));
    return true;
}

auto verified_configuration::putInForce(revision_update update) -> leaf::result<void>
{
    auto next = std::shared_ptr<const configuration> {};
    if (m_config) {
        BOOST_LEAF_ASSIGN(next, updateConfiguration(m_config, update.revision->id, update.changes));
    } else {
        BOOST_LEAF_ASSIGN(next, buildConfiguration(*update.revision));
    }
    m_revision = std::move(update.revision);
    m_config = std::move(next);
    m_kept.push_back(m_revision);
    if (m_kept.size() > maxKeptRevisions)
        m_kept.pop_front();
    m_listener(m_config);
    return {};
}

} // namespace gypsumhub
