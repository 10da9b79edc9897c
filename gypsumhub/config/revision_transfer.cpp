#include "gypsumhub/config/revision_transfer.h"

#include "gypsumhub/config/revision_chain.h"
#include "gypsumhub/config/revision_codec.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace gypsumhub {

namespace {

    /// First byte of a part.
    constexpr auto recordMark = 'R';
    constexpr auto manifestMark = 'M';
    constexpr auto chunkMark = 'C';
    /// A whole transfer of the largest manifest with the longest chain.
    constexpr auto maxParts = uint32_t { 8192 };

    auto unusable(std::string_view what) -> leaf::error_id
    {
        return failWith({ result_code::ConfigurationInvalid, "a part of the transfer " + std::string(what) });
    }

} // namespace

revision_parts::revision_parts(std::shared_ptr<const config_revision> revision, const revision_id& have)
    : m_revision(std::move(revision))
{
    assert(!m_revision->recent.empty());
    // Collect the records after `have`; they are enough when they reach it and all carry their changes.
    auto reachesHave = false;
    auto haveDeltas = true;
    for (auto record = m_revision->recent.rbegin(); record != m_revision->recent.rend() && (*record)->id.number > have.number; ++record) {
        m_records.insert(m_records.begin(), *record);
        reachesHave = (*record)->header.number == have.number + 1 && (*record)->header.parent == have.hash;
        haveDeltas = haveDeltas && (*record)->delta.has_value();
    }
    m_isWhole = !reachesHave || !haveDeltas || have.number == 0;
    // The head's record always goes along: it shows a node of another history that it is one.
    if (have.number == 0 || m_records.empty())
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
        return recordMark + m_records[index]->bytes;
    auto chunk = index - m_records.size();
    if (chunk == 0)
        return manifestMark + encodeManifest(m_revision->manifest);
    return chunkMark + *m_revision->chunks[chunk - 1];
}

revision_assembler::revision_assembler(std::shared_ptr<const config_revision> current, const revision_id& wanted)
    : m_current(std::move(current))
    , m_wanted(wanted)
{
}

auto revision_assembler::put(uint32_t index, uint32_t count, std::string_view bytes) -> leaf::result<void>
{
    if (count == 0 || count > maxParts || index >= count)
        return unusable("has an impossible number");
    if (m_parts.empty())
        m_parts.resize(count);
    if (m_parts.size() != count)
        return unusable("belongs to a transfer of another length");
    if (bytes.empty())
        return unusable("is empty");
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
    while (index < m_parts.size() && m_parts[index]->front() == recordMark) {
        BOOST_LEAF_AUTO(record, decodeRecord(std::string_view(*m_parts[index]).substr(1)));
        records.push_back(std::move(record));
        ++index;
    }
    if (records.empty())
        return unusable("does not begin with a record");
    return index;
}

auto revision_assembler::finish() -> leaf::result<revision_update>
{
    assert(!firstMissing());
    auto records = std::vector<revision_record> {};
    BOOST_LEAF_AUTO(manifestIndex, readRecords(records));
    if (records.back().id != m_wanted)
        return unusable("leads to another revision than the one asked for");
    BOOST_LEAF_CHECK(verifyChain(m_current ? m_current->id : revision_id {}, records));
    if (manifestIndex == m_parts.size())
        return applyRecords(records);
    return assembleWhole(records, manifestIndex);
}

auto revision_assembler::applyRecords(const std::vector<revision_record>& records) const -> leaf::result<revision_update>
{
    if (!m_current)
        return unusable("brings changes without the content that they change");
    auto revision = m_current;
    for (auto& record : records) {
        BOOST_LEAF_ASSIGN(revision, applyRecord(revision, record));
    }
    BOOST_LEAF_AUTO(changes, diffRevisions(*m_current, *revision));
    return revision_update { std::move(revision), std::move(changes) };
}

auto revision_assembler::assembleWhole(const std::vector<revision_record>& records, size_t manifestIndex) -> leaf::result<revision_update>
{
    if (m_parts[manifestIndex]->front() != manifestMark)
        return unusable("is neither record nor manifest");
    auto chunks = std::vector<std::shared_ptr<const std::string>> {};
    for (auto index = manifestIndex + 1; index < m_parts.size(); ++index) {
        if (m_parts[index]->front() != chunkMark)
            return unusable("is not a chunk");
        auto bytes = std::string_view(*m_parts[index]).substr(1);
        auto position = chunks.size();
        // Chunks that are held already stay shared.
        auto isHeld = m_current && position < m_current->chunks.size() && *m_current->chunks[position] == bytes;
        chunks.push_back(isHeld ? m_current->chunks[position] : std::make_shared<const std::string>(bytes));
        m_parts[index] = std::make_shared<const std::string>(1, chunkMark);
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
