#include "fakes/fake_network_source.h"

#include <algorithm>
#include <vector>

namespace gypsumhub {

namespace {

    /// Parts of one revision. Each consists of the hash of the revision, the index of the part and padding.
    class fake_parts final : public revision_part_source {
    public:
        fake_parts(const revision_id& revision, uint32_t count, std::size_t bytes)
            : m_revision(revision)
            , m_count(count)
            , m_bytes(bytes)
        {
        }

        auto revision() const -> revision_id override { return m_revision; }
        auto count() const -> uint32_t override { return m_count; }
        auto part(uint32_t index) const -> std::string override
        {
            auto text = toHex(m_revision.hash) + std::to_string(index);
            text.resize(std::max(text.size(), m_bytes), '.');
            return text;
        }

    private:
        revision_id m_revision;
        uint32_t m_count;
        std::size_t m_bytes;
    };

} // namespace

/// Collects the parts of a transfer and adopts the revision once all have arrived.
class fake_network_source::part_sink final : public revision_part_sink {
public:
    explicit part_sink(fake_network_source& owner)
        : m_owner(owner)
        , m_base(owner.m_current)
    {
    }

    auto put(uint32_t index, uint32_t count, std::string_view bytes) -> leaf::result<void> override
    {
        if (m_parts.empty())
            m_parts.resize(count);
        if (m_parts.size() != count)
            return failWith({ result_code::ConfigurationInvalid, "the part belongs to another transfer" });
        m_parts[index] = bytes;
        return {};
    }

    auto firstMissing() const -> std::optional<uint32_t> override
    {
        if (m_parts.empty())
            return 0;
        auto missing = std::ranges::find(m_parts, std::string {});
        if (missing == m_parts.end())
            return std::nullopt;
        return static_cast<uint32_t>(missing - m_parts.begin());
    }

    auto finish() -> leaf::result<revision_id> override
    {
        auto target = m_owner.m_history.find(m_parts.front());
        if (m_owner.m_current != m_base)
            return failWith({ result_code::ConfigurationChunkMissing, "the current revision changed during the transfer" });
        if (!m_owner.m_history.isAncestor(m_base, target))
            return failWith({ result_code::ConfigurationForked, "the revision does not descend from the current one" });
        m_owner.setCurrent(target);
        return target;
    }

private:
    fake_network_source& m_owner;
    revision_id m_base;
    std::vector<std::string> m_parts;
};

auto fake_history::add(const revision_id& parent, uint8_t branch, uint64_t skip) -> revision_id
{
    auto child = revision_id { parent.number + 1 + skip, {} };
    child.hash.bytes[0] = std::byte { branch };
    child.hash.bytes[1] = std::byte { ++m_next };
    m_parents[child] = parent;
    return child;
}

auto fake_history::isAncestor(const revision_id& ancestor, const revision_id& revision) const -> bool
{
    auto step = revision;
    while (step.number > ancestor.number)
        step = m_parents.at(step);
    return ancestor.number == 0 || step == ancestor;
}

auto fake_history::find(std::string_view part) const -> revision_id
{
    auto matches = [&](auto& entry) { return part.starts_with(toHex(entry.first.hash)); };
    return std::ranges::find_if(m_parents, matches)->first;
}

fake_network_source::fake_network_source(const fake_history& history)
    : m_history(history)
{
}

auto fake_network_source::partsTo(const revision_id& wanted, const revision_id& have) const -> std::unique_ptr<revision_part_source>
{
    auto target = wanted.number != 0 && m_history.isAncestor(wanted, m_current) ? wanted : m_current;
    return std::make_unique<fake_parts>(target, have.number == 0 ? m_history.fullTransferParts : 1, m_history.partBytes);
}

auto fake_network_source::beginUpdate(const revision_id&) -> std::unique_ptr<revision_part_sink>
{
    return std::make_unique<part_sink>(*this);
}

auto fake_network_source::adopt(const revision_id& next) -> bool
{
    if (next.number <= m_current.number || !m_history.isAncestor(m_current, next))
        return false;
    setCurrent(next);
    return true;
}

auto fake_network_source::setCurrent(const revision_id& next) -> void
{
    m_revisionRegressions += next.number < m_current.number ? 1 : 0;
    m_current = next;
}

} // namespace gypsumhub
