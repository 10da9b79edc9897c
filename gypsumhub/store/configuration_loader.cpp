#include "gypsumhub/store/configuration_loader.h"

#include "gypsumhub/config/revision_chain.h"
#include "gypsumhub/config/revision_codec.h"
#include "gypsumhub/store/configuration_keys.h"

#include <algorithm>
#include <utility>

namespace gypsumhub {

namespace {

    auto missing(const std::string& key) -> leaf::error_id
    {
        return failWith({ result_code::ConfigurationChunkMissing, "the store has no key '" + key + "'", {}, 0, "load again; if the key is still missing, reinstate the fleet's revision" });
    }

    /// For more records than this, loading the chunks is cheaper than applying the deltas.
    constexpr auto maxAppliedRecords = size_t { 256 };

} // namespace

configuration_loader::configuration_loader(store& source)
    : m_store(source)
{
}

auto configuration_loader::load(const std::shared_ptr<const config_revision>& current, time_point deadline) -> leaf::result<std::shared_ptr<const config_revision>>
{
    BOOST_LEAF_AUTO(entry, m_store.get(headKey, deadline));
    if (entry)
        return loadHead(current, *entry, deadline);
    // When there is a current revision, an empty store was restored to its state before the first change.
    BOOST_LEAF_CHECK(checkHead(current ? current->id : revision_id {}, {}));
    return std::shared_ptr<const config_revision> {};
}

auto configuration_loader::loadNext(const std::shared_ptr<const config_revision>& current, time_point watchDeadline, time_point deadline)
    -> leaf::result<std::shared_ptr<const config_revision>>
{
    BOOST_LEAF_AUTO(entry, m_store.watch(headKey, m_headModRevision, watchDeadline));
    if (entry)
        return loadHead(current, *entry, deadline);
    // The watch may have missed a change, or the store may have been restored to an earlier state.
    return load(current, deadline);
}

auto configuration_loader::readHead(time_point deadline) -> leaf::result<std::optional<configuration_head>>
{
    BOOST_LEAF_AUTO(entry, m_store.get(headKey, deadline));
    if (!entry)
        return std::optional<configuration_head> {};
    BOOST_LEAF_AUTO(record, decodeRecord(entry->value));
    return configuration_head { std::move(record), entry->modRevision };
}

auto configuration_loader::loadHead(const std::shared_ptr<const config_revision>& current, const store_entry& entry, time_point deadline)
    -> leaf::result<std::shared_ptr<const config_revision>>
{
    m_headModRevision = entry.modRevision;
    BOOST_LEAF_AUTO(head, decodeRecord(entry.value));
    if (!current)
        return loadRecord(head, nullptr, deadline);
    BOOST_LEAF_CHECK(checkHead(current->id, head.id));
    if (head.id == current->id)
        return current;

    // Read the records between, oldest first, and verify that they lead from the current revision to the head.
    BOOST_LEAF_AUTO(records, readHistory(head, current->id.number + 1, deadline));
    std::ranges::reverse(records);
    records.push_back(head);
    BOOST_LEAF_CHECK(verifyChain(current->id, records));
    auto haveDeltas = std::ranges::all_of(records, [](auto& record) { return record.delta.has_value(); });
    if (!haveDeltas || records.size() > maxAppliedRecords)
        return loadRecord(head, current, deadline);
    auto revision = current;
    for (auto& record : records) {
        BOOST_LEAF_ASSIGN(revision, applyRecord(revision, record));
    }
    return revision;
}

auto configuration_loader::loadRecord(const revision_record& record, const std::shared_ptr<const config_revision>& current, time_point deadline)
    -> leaf::result<std::shared_ptr<const config_revision>>
{
    auto key = manifestKey(record.header.manifest);
    BOOST_LEAF_AUTO(manifestEntry, m_store.get(key, deadline));
    if (!manifestEntry)
        return missing(key);
    BOOST_LEAF_AUTO(manifest, decodeManifest(manifestEntry->value));

    // Reuse the chunks of the current revision and read the others.
    for (auto index = size_t { 0 }; current && index < current->chunks.size(); ++index)
        m_loadedChunks.emplace(current->manifest.chunks[index].hash, current->chunks[index]);
    auto chunks = std::vector<std::shared_ptr<const std::string>> {};
    for (auto& reference : manifest.chunks) {
        BOOST_LEAF_AUTO(chunk, readChunk(reference, deadline));
        chunks.push_back(std::move(chunk));
    }
    m_loadedChunks.clear();
    auto recent = std::deque<std::shared_ptr<const revision_record>> {};
    if (current)
        recent = current->recent;
    // Skipped records leave a gap in the history, across which peers cannot be updated.
    if (!recent.empty() && recent.back()->id.hash != record.header.parent)
        recent.clear();
    return assembleRevision(record, manifestEntry->value, std::move(chunks), std::move(recent));
}

auto configuration_loader::readChunk(const chunk_reference& reference, time_point deadline) -> leaf::result<std::shared_ptr<const std::string>>
{
    auto found = m_loadedChunks.find(reference.hash);
    if (found != m_loadedChunks.end())
        return found->second;
    BOOST_LEAF_AUTO(entry, m_store.get(chunkKey(reference), deadline));
    if (!entry)
        return missing(chunkKey(reference));
    auto chunk = std::make_shared<const std::string>(std::move(entry->value));
    m_loadedChunks.emplace(reference.hash, chunk);
    return chunk;
}

auto configuration_loader::readHistory(const revision_record& newest, uint64_t oldest, time_point deadline) -> leaf::result<std::vector<revision_record>>
{
    auto records = std::vector<revision_record> {};
    auto child = revision_header { newest.header };
    while (child.number > 1 && child.number > oldest) {
        BOOST_LEAF_AUTO(entry, m_store.get(recordKey(child.number - 1), deadline));
        if (!entry)
            break;
        BOOST_LEAF_AUTO(record, decodeRecord(entry->value));
        if (record.id.hash != child.parent)
            return failWith({ result_code::ConfigurationForked, "the stored record of revision " + std::to_string(child.number - 1) + " is not the parent of revision " + std::to_string(child.number) });
        child = record.header;
        records.push_back(std::move(record));
    }
    return records;
}

} // namespace gypsumhub
