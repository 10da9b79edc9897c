#include "gypsumhub/config/config_revision.h"

#include "gypsumhub/config/configuration_builder.h"
#include "gypsumhub/config/revision_chain.h"
#include "gypsumhub/config/revision_codec.h"
#include "gypsumhub/core/hash.h"

#include <algorithm>
#include <map>
#include <utility>

namespace gypsumhub {

namespace {

    constexpr auto targetChunkBytes = size_t { 128 * 1024 };
    constexpr auto minMeanChunkBytes = size_t { 32 * 1024 };
    constexpr auto maxMeanChunkBytes = size_t { 256 * 1024 };
    constexpr auto maxChunkCount = size_t { 4096 };
    constexpr auto tagDigits = size_t { 16 };
    /// Number of chunks whose callers are decoded together.
    constexpr auto callerBatchChunks = size_t { 32 };

    /// Keeps the parent's number of chunks while the mean chunk size stays within bounds, so that most changes rewrite a single chunk.
    auto chooseChunkCount(size_t parentCount, size_t totalBytes) -> size_t
    {
        auto mean = totalBytes / parentCount;
        if (mean <= maxMeanChunkBytes && (parentCount == 1 || mean >= minMeanChunkBytes))
            return parentCount;
        auto count = size_t { 1 };
        while (count < maxChunkCount && totalBytes / count > targetChunkBytes)
            count *= 2;
        return count;
    }

    auto chunkOf(std::string_view key, size_t chunkCount) -> size_t
    {
        return hashName(key) % chunkCount;
    }

    auto setChunk(config_revision& revision, size_t index, std::span<const configuration_entry> entries, const std::string& tag) -> void
    {
        auto bytes = std::make_shared<const std::string>(encodeChunk(entries));
        revision.manifest.chunks[index] = { hashContent(*bytes), tag };
        revision.chunks[index] = std::move(bytes);
    }

    auto rebuildChunks(config_revision& revision, size_t chunkCount, const std::string& tag) -> leaf::result<void>
    {
        BOOST_LEAF_AUTO(entries, revision.entries());
        auto parts = std::vector<std::vector<configuration_entry>>(chunkCount);
        for (auto& entry : entries)
            parts[chunkOf(entry.key, chunkCount)].push_back(std::move(entry));
        revision.manifest.chunks.assign(chunkCount, {});
        revision.chunks.assign(chunkCount, nullptr);
        for (auto index = size_t { 0 }; index < chunkCount; ++index)
            setChunk(revision, index, parts[index], tag);
        return {};
    }

    auto changeChunks(config_revision& revision, std::span<const entry_change> changes, const std::string& tag) -> leaf::result<void>
    {
        auto changesOfChunk = std::map<size_t, std::vector<entry_change>> {};
        for (auto& change : changes)
            changesOfChunk[chunkOf(change.key, revision.chunks.size())].push_back(change);
        for (auto& [index, own] : changesOfChunk) {
            BOOST_LEAF_AUTO(entries, decodeChunk(*revision.chunks[index]));
            setChunk(revision, index, applyChanges(entries, own), tag);
        }
        auto chunkCount = chooseChunkCount(revision.chunks.size(), revision.chunkBytes());
        if (chunkCount != revision.chunks.size())
            BOOST_LEAF_CHECK(rebuildChunks(revision, chunkCount, tag));
        return {};
    }

    /// A copy of `parent` with the changes applied to its content. The header is not updated yet.
    auto changedContent(const std::shared_ptr<const config_revision>& parent, std::span<const entry_change> changes, const std::string& operationId)
        -> leaf::result<std::shared_ptr<config_revision>>
    {
        auto next = parent ? std::make_shared<config_revision>(*parent) : std::make_shared<config_revision>();
        auto tag = chunkTag(operationId);
        if (!parent) {
            next->manifest.chunks.resize(1);
            next->chunks.resize(1);
            setChunk(*next, 0, {}, tag);
        }
        BOOST_LEAF_CHECK(changeChunks(*next, changes, tag));
        return next;
    }

    auto finish(std::shared_ptr<config_revision> revision, revision_record record) -> std::shared_ptr<const config_revision>
    {
        revision->id = record.id;
        revision->header = record.header;
        revision->recent.push_back(std::make_shared<const revision_record>(std::move(record)));
        while (revision->recent.size() > maxRecentRecords)
            revision->recent.pop_front();
        return revision;
    }

    auto isCaller(std::string_view key) -> bool
    {
        return key.starts_with("register/caller ");
    }

    template <typename Predicate>
    auto putEntries(std::span<const std::shared_ptr<const std::string>> chunks, Predicate isSelected, configuration_builder& builder) -> leaf::result<void>
    {
        for (auto& chunk : chunks) {
            BOOST_LEAF_AUTO(entries, decodeChunk(*chunk));
            for (auto& entry : entries) {
                if (!isSelected(entry.key))
                    continue;
                BOOST_LEAF_AUTO(located, toSection(entry));
                builder.put(located.document, std::move(located.section), entry.key);
            }
        }
        return {};
    }

    auto contentMismatch(const revision_id& id) -> leaf::error_id
    {
        return failWith({ result_code::ConfigurationInvalid, "the content of revision " + std::to_string(id.number) + " does not match the hash in its header" });
    }

} // namespace

auto chunkTag(std::string_view operationId) -> std::string
{
    return toHex(hashContent(operationId)).substr(0, tagDigits);
}

auto config_revision::entries() const -> leaf::result<std::vector<configuration_entry>>
{
    auto all = std::vector<configuration_entry> {};
    for (auto& chunk : chunks) {
        BOOST_LEAF_AUTO(part, decodeChunk(*chunk));
        std::ranges::move(part, std::back_inserter(all));
    }
    std::ranges::sort(all);
    return all;
}

auto config_revision::find(std::string_view key) const -> leaf::result<std::optional<std::string>>
{
    BOOST_LEAF_AUTO(part, decodeChunk(*chunks[chunkOf(key, chunks.size())]));
    auto found = std::ranges::lower_bound(part, key, {}, &configuration_entry::key);
    if (found == part.end() || found->key != key)
        return std::optional<std::string> {};
    return std::optional(std::move(found->body));
}

auto config_revision::chunkBytes() const -> size_t
{
    auto bytes = size_t { 0 };
    for (auto& chunk : chunks)
        bytes += chunk->size();
    return bytes;
}

auto makeRevision(std::shared_ptr<const config_revision> parent, std::span<const entry_change> changes, const revision_origin& origin)
    -> leaf::result<std::shared_ptr<const config_revision>>
{
    BOOST_LEAF_AUTO(next, changedContent(parent, changes, origin.operationId));
    auto header = revision_header {};
    header.number = parent ? parent->id.number + 1 : 1;
    header.parent = parent ? parent->id.hash : content_hash {};
    header.operationId = origin.operationId;
    header.author = origin.author;
    header.note = origin.note;
    header.createdAt = origin.createdAt;
    header.manifest = hashContent(encodeManifest(next->manifest));
    return finish(std::move(next), makeRecord(std::move(header), changes));
}

auto applyRecord(const std::shared_ptr<const config_revision>& parent, const revision_record& record) -> leaf::result<std::shared_ptr<const config_revision>>
{
    BOOST_LEAF_CHECK(verifyChild(parent ? parent->id : revision_id {}, record));
    if (!record.delta)
        return failWith({ result_code::ConfigurationChunkMissing, "revision " + std::to_string(record.id.number) + " has no delta", {}, 0, "load its chunks" });
    BOOST_LEAF_AUTO(next, changedContent(parent, *record.delta, record.header.operationId));
    if (hashContent(encodeManifest(next->manifest)) != record.header.manifest)
        return contentMismatch(record.id);
    return finish(std::move(next), record);
}

auto assembleRevision(const revision_record& record, std::string_view manifestBytes, std::vector<std::shared_ptr<const std::string>> chunks,
    std::deque<std::shared_ptr<const revision_record>> recent) -> leaf::result<std::shared_ptr<const config_revision>>
{
    if (hashContent(manifestBytes) != record.header.manifest)
        return contentMismatch(record.id);
    auto revision = std::make_shared<config_revision>();
    BOOST_LEAF_ASSIGN(revision->manifest, decodeManifest(manifestBytes));
    if (chunks.size() != revision->manifest.chunks.size())
        return contentMismatch(record.id);
    for (auto index = size_t { 0 }; index < chunks.size(); ++index) {
        if (!chunks[index])
            return failWith({ result_code::ConfigurationChunkMissing, "chunk " + std::to_string(index) + " of revision " + std::to_string(record.id.number) + " is missing" });
        if (hashContent(*chunks[index]) != revision->manifest.chunks[index].hash)
            return contentMismatch(record.id);
    }
    revision->chunks = std::move(chunks);
    revision->recent = std::move(recent);
    return finish(std::move(revision), record);
}

auto buildConfiguration(const config_revision& revision) -> leaf::result<std::shared_ptr<const configuration>>
{
    // Callers are by far the most numerous entries. Reading them in batches of chunks limits how many sections are in memory at once.
    auto builder = configuration_builder();
    BOOST_LEAF_CHECK(putEntries(
        revision.chunks, [](auto& key) { return !isCaller(key); }, builder));
    BOOST_LEAF_AUTO(config, builder.build(revision.id));
    auto chunks = std::span(revision.chunks);
    while (!chunks.empty()) {
        auto batch = chunks.first(std::min(callerBatchChunks, chunks.size()));
        auto next = configuration_builder(std::move(config));
        BOOST_LEAF_CHECK(putEntries(batch, isCaller, next));
        BOOST_LEAF_ASSIGN(config, next.build(revision.id));
        chunks = chunks.subspan(batch.size());
    }
    return config;
}

auto updateConfiguration(std::shared_ptr<const configuration> previous, const revision_id& id, std::span<const entry_change> changes) -> leaf::result<std::shared_ptr<const configuration>>
{
    auto builder = configuration_builder(std::move(previous));
    for (auto& change : changes) {
        BOOST_LEAF_AUTO(located, toSection({ change.key, change.body.value_or("") }));
        if (change.body)
            builder.put(located.document, std::move(located.section), change.key);
        else
            builder.remove(located.document, located.section.kind, located.section.name);
    }
    return builder.build(id);
}

auto advanceConfiguration(const configured_revision& current, const std::shared_ptr<const config_revision>& next) -> leaf::result<configured_revision>
{
    if (!current.config) {
        BOOST_LEAF_AUTO(whole, buildConfiguration(*next));
        return configured_revision { next, std::move(whole) };
    }
    BOOST_LEAF_AUTO(changes, diffRevisions(*current.revision, *next));
    BOOST_LEAF_AUTO(config, updateConfiguration(current.config, next->id, changes));
    return configured_revision { next, std::move(config) };
}

auto diffRevisions(const config_revision& from, const config_revision& to) -> leaf::result<std::vector<entry_change>>
{
    if (from.chunks.size() != to.chunks.size()) {
        BOOST_LEAF_AUTO(oldEntries, from.entries());
        BOOST_LEAF_AUTO(newEntries, to.entries());
        return diffEntries(oldEntries, newEntries);
    }
    auto changes = std::vector<entry_change> {};
    for (auto index = size_t { 0 }; index < from.chunks.size(); ++index) {
        if (from.manifest.chunks[index].hash == to.manifest.chunks[index].hash)
            continue;
        BOOST_LEAF_AUTO(oldPart, decodeChunk(*from.chunks[index]));
        BOOST_LEAF_AUTO(newPart, decodeChunk(*to.chunks[index]));
        std::ranges::move(diffEntries(oldPart, newPart), std::back_inserter(changes));
    }
    std::ranges::sort(changes, {}, &entry_change::key);
    return changes;
}

} // namespace gypsumhub
