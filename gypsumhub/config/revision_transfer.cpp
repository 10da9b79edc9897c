#include "gypsumhub/config/revision_transfer.h"

#include "gypsumhub/config/revision_chain.h"
#include "gypsumhub/config/revision_codec.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace gypsumhub {

namespace {

    /// First byte of a part, which identifies the kind of its content.
    constexpr auto recordMarker = 'R';
    constexpr auto manifestMarker = 'M';
    constexpr auto chunkMarker = 'C';
    /// Upper bound for a transfer with the largest manifest and the longest chain of records.
    constexpr auto maxParts = uint32_t { 8192 };

    auto invalidPart(std::string_view what) -> leaf::error_id
    {
        return failWith({ result_code::ConfigurationInvalid, "a part of the transfer " + std::string(what) });
    }

} // namespace

revision_parts::revision_parts(std::shared_ptr<const config_revision> revision, const revision_id& base)
    : m_revision(std::move(revision))
{
    assert(!m_revision->recent.empty());
    // Collect the records after `base`. They suffice when the oldest one is the child of `base` and all have their deltas.
    auto reachesBase = false;
    auto haveDeltas = true;
    for (auto record = m_revision->recent.rbegin(); record != m_revision->recent.rend() && (*record)->id.number > base.number; ++record) {
        m_records.insert(m_records.begin(), *record);
        reachesBase = (*record)->header.number == base.number + 1 && (*record)->header.parent == base.hash;
        haveDeltas = haveDeltas && (*record)->delta.has_value();
    }
    m_isWhole = !reachesBase || !haveDeltas || base.number == 0;
    // The newest record is always sent, so that a node with another history can detect the fork.
    if (base.number == 0 || m_records.empty())
        m_records = { m_revision->recent.back() };
}

auto revision_parts::count() const -> uint32_t
{
    auto contentParts = m_isWhole ? 1 + m_revision->chunks.size() : 0;
    return static_cast<uint32_t>(m_records.size() + contentParts);
}

auto revision_parts::part(uint32_t index) const -> std::string
{
    assert(index < count());
    if (index < m_records.size())
        return recordMarker + m_records[index]->bytes;
    auto chunk = index - m_records.size();
    if (chunk == 0)
        return manifestMarker + encodeManifest(m_revision->manifest);
    return chunkMarker + *m_revision->chunks[chunk - 1];
}

revision_assembler::revision_assembler(std::shared_ptr<const config_revision> current, const revision_id& requested)
    : m_current(std::move(current))
    , m_requested(requested)
{
}

auto revision_assembler::put(uint32_t index, uint32_t count, std::string_view bytes) -> leaf::result<void>
{
    if (count == 0 || count > maxParts || index >= count)
        return invalidPart("has an invalid index");
    if (m_parts.empty())
        m_parts.resize(count);
    if (m_parts.size() != count)
        return invalidPart("belongs to a transfer with another number of parts");
    if (bytes.empty())
        return invalidPart("is empty");
    if (!m_parts[index])
        m_parts[index] = std::make_shared<const std::string>(bytes);
    return {};
}

auto revision_assembler::firstMissing() const -> std::optional<uint32_t>
{
    if (m_parts.empty())
        return 0;
    auto missing = std::ranges::find(m_parts, nullptr);
    if (missing == m_parts.end())
        return std::nullopt;
    return static_cast<uint32_t>(missing - m_parts.begin());
}

auto revision_assembler::readRecords(std::vector<revision_record>& records) const -> leaf::result<size_t>
{
    auto index = size_t { 0 };
    while (index < m_parts.size() && m_parts[index]->front() == recordMarker) {
        BOOST_LEAF_AUTO(record, decodeRecord(std::string_view(*m_parts[index]).substr(1)));
        records.push_back(std::move(record));
        ++index;
    }
    if (records.empty())
        return invalidPart("is the first and not a record");
    return index;
}

auto revision_assembler::finish() -> leaf::result<revision_update>
{
    assert(!firstMissing());
    auto records = std::vector<revision_record> {};
    BOOST_LEAF_AUTO(manifestIndex, readRecords(records));
    if (records.back().id != m_requested)
        return invalidPart("leads to a revision that was not requested");
    BOOST_LEAF_CHECK(verifyChain(m_current ? m_current->id : revision_id {}, records));
    if (manifestIndex == m_parts.size())
        return applyRecords(records);
    return assembleWhole(records, manifestIndex);
}

auto revision_assembler::applyRecords(const std::vector<revision_record>& records) const -> leaf::result<revision_update>
{
    if (!m_current)
        return invalidPart("contains changes to a revision that is not present");
    auto revision = m_current;
    for (auto& record : records) {
        BOOST_LEAF_ASSIGN(revision, applyRecord(revision, record));
    }
    BOOST_LEAF_AUTO(changes, diffRevisions(*m_current, *revision));
    return revision_update { std::move(revision), std::move(changes) };
}

auto revision_assembler::assembleWhole(const std::vector<revision_record>& records, size_t manifestIndex) -> leaf::result<revision_update>
{
    if (m_parts[manifestIndex]->front() != manifestMarker)
        return invalidPart("is neither a record nor a manifest");
    auto chunks = std::vector<std::shared_ptr<const std::string>> {};
    for (auto index = manifestIndex + 1; index < m_parts.size(); ++index) {
        if (m_parts[index]->front() != chunkMarker)
            return invalidPart("is not a chunk");
        auto bytes = std::string_view(*m_parts[index]).substr(1);
        auto position = chunks.size();
        // Chunks that are equal to those of the current revision stay shared with it.
        auto isUnchanged = m_current && position < m_current->chunks.size() && *m_current->chunks[position] == bytes;
        chunks.push_back(isUnchanged ? m_current->chunks[position] : std::make_shared<const std::string>(bytes));
        m_parts[index] = std::make_shared<const std::string>(1, chunkMarker);
    }
    auto recent = std::deque<std::shared_ptr<const revision_record>> {};
    if (m_current)
        recent = m_current->recent;
    for (auto& record : std::span(records).first(records.size() - 1))
        recent.push_back(std::make_shared<const revision_record>(record));
    BOOST_LEAF_AUTO(revision, assembleRevision(records.back(), std::string_view(*m_parts[manifestIndex]).substr(1), std::move(chunks), std::move(recent)));
    auto changes = std::vector<entry_change> {};
    if (m_current) {
        BOOST_LEAF_ASSIGN(changes, diffRevisions(*m_current, *revision));
    }
    return revision_update { std::move(revision), std::move(changes) };
}

} // namespace gypsumhub
