#include "gypsumhub/store/revision_publisher.h"

#include "gypsumhub/config/revision_codec.h"
#include "gypsumhub/store/caught_result.h"
#include "gypsumhub/store/configuration_keys.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace gypsumhub {

namespace {

    /// Time limit of one call; leaves time to retry it.
    constexpr auto maxCallTime = seconds(5);
    constexpr auto initialBackoff = milliseconds(50);
    constexpr auto maxBackoff = seconds(2);
    /// Limit on old revisions removed per change. More than one, so that revisions left by an interrupted removal are removed too.
    constexpr auto maxRemovedRevisions = uint64_t { 4 };

    auto isOutcomeUnknown(result_code code) -> bool
    {
        return code == result_code::StoreReplyLost || code == result_code::StoreTimeout || code == result_code::StoreProtocolError;
    }

    auto canRetry(result_code code) -> bool
    {
        return isOutcomeUnknown(code) || code == result_code::StoreUnavailable || code == result_code::StoreBudgetSpent;
    }

} // namespace

revision_publisher::revision_publisher(store& destination, store_clock clock)
    : m_store(destination)
    , m_clock(std::move(clock))
{
}

auto revision_publisher::write(std::string_view key, uint64_t expectedRevision, std::string_view value, time_point deadline) -> leaf::result<write_outcome>
{
    auto isUnknown = false;
    auto backoff = initialBackoff;
    while (true) {
        auto callDeadline = std::min(deadline, m_clock.now() + maxCallTime);
        auto outcome = catchFaults<uint64_t>([&] { return m_store.compareAndSwap(key, expectedRevision, value, callDeadline); });
        if (outcome.value)
            return write_outcome::Written;
        auto code = outcome.code();
        isUnknown = isUnknown || isOutcomeUnknown(code);
        if (code == result_code::StoreCompareFailed) {
            if (!isUnknown)
                return write_outcome::Refused;
            // An earlier attempt may have taken effect although its reply was lost.
            auto current = catchFaults<std::optional<store_entry>>([&] { return m_store.get(key, callDeadline); });
            if (current.value)
                return *current.value && (*current.value)->value == value ? write_outcome::Written : write_outcome::Refused;
            code = current.code();
            outcome.faults = std::move(current.faults);
        }
        if (!canRetry(code) || m_clock.now() + backoff >= deadline) {
            if (!isUnknown)
                return leaf::new_error(std::move(outcome.faults));
            return failWith({ result_code::StoreReplyLost, "it is unknown whether the store wrote '" + std::string(key) + "'" });
        }
        m_clock.waitUntil(m_clock.now() + backoff);
        backoff = std::min(backoff * 2, maxBackoff);
    }
}

auto revision_publisher::writeOnce(std::string_view key, std::string_view value, time_point deadline) -> leaf::result<void>
{
    BOOST_LEAF_CHECK(write(key, 0, value, deadline));
    return {};
}

auto revision_publisher::writeRecord(const revision_record& record, time_point deadline) -> leaf::result<void>
{
    auto key = recordKey(record.id.number);
    BOOST_LEAF_AUTO(outcome, write(key, 0, record.bytes, deadline));
    if (outcome == write_outcome::Written)
        return {};
    BOOST_LEAF_AUTO(existing, m_store.get(key, deadline));
    if (existing && existing->value == record.bytes)
        return {};
    return failWith({ result_code::ConfigurationForked, "the stored record of revision " + std::to_string(record.id.number) + " differs from the head of the store", {}, 0,
        "see docs/operators/store_outage.md" });
}

auto revision_publisher::writeManifest(const config_revision& revision, time_point deadline) -> leaf::result<void>
{
    return writeOnce(manifestKey(revision.header.manifest), encodeManifest(revision.manifest), deadline);
}

auto revision_publisher::publish(const config_revision& next, const std::optional<configuration_head>& parent, time_point deadline) -> leaf::result<bool>
{
    // Everything that the new head references is written before the head.
    auto tag = chunkTag(next.header.operationId);
    for (auto index = size_t { 0 }; index < next.chunks.size(); ++index) {
        auto& reference = next.manifest.chunks[index];
        if (reference.tag == tag)
            BOOST_LEAF_CHECK(writeOnce(chunkKey(reference), *next.chunks[index], deadline));
    }
    BOOST_LEAF_CHECK(writeManifest(next, deadline));
    if (parent)
        BOOST_LEAF_CHECK(writeRecord(parent->record, deadline));
    BOOST_LEAF_AUTO(isAccepted, advanceHead(*next.recent.back(), parent ? parent->modRevision : 0, deadline));
    if (isAccepted)
        return true;
    // A failure to clean up does not change the outcome.
    catchFaults<bool>([&]() -> leaf::result<bool> {
        BOOST_LEAF_CHECK(removeContent(next, deadline));
        return true;
    });
    return false;
}

auto revision_publisher::advanceHead(const revision_record& record, uint64_t expectedRevision, time_point deadline) -> leaf::result<bool>
{
    auto acceptance = catchFaults<bool>([&]() -> leaf::result<bool> {
        BOOST_LEAF_AUTO(outcome, write(headKey, expectedRevision, record.bytes, deadline));
        if (outcome == write_outcome::Written)
            return true;
        // When the reply was lost, this revision may be accepted and other operators may already have published children of it.
        return isInHistory(record, deadline);
    });
    if (acceptance.value)
        return *acceptance.value;
    if (!isOutcomeUnknown(acceptance.code()))
        return leaf::new_error(std::move(acceptance.faults));
    return failWith({ result_code::StoreReplyLost, "it is unknown whether the change was accepted; its operation id is " + record.header.operationId, {}, 0,
        "once the store answers, search for the id in `gypsumhub history`" });
}

auto revision_publisher::isInHistory(const revision_record& record, time_point deadline) -> leaf::result<bool>
{
    auto loader = configuration_loader(m_store);
    BOOST_LEAF_AUTO(head, loader.readHead(deadline));
    if (!head || head->record.id.number < record.id.number)
        return false;
    if (head->record.id == record.id)
        return true;
    BOOST_LEAF_AUTO(history, loader.readHistory(head->record, record.id.number, deadline));
    return std::ranges::any_of(history, [&](auto& earlier) { return earlier.id == record.id; });
}

auto revision_publisher::removeContent(const config_revision& revision, time_point deadline) -> leaf::result<void>
{
    auto tag = chunkTag(revision.header.operationId);
    for (auto& reference : revision.manifest.chunks) {
        if (reference.tag == tag)
            BOOST_LEAF_CHECK(m_store.remove(chunkKey(reference), deadline));
    }
    return m_store.remove(manifestKey(revision.header.manifest), deadline);
}

auto revision_publisher::replaceRecord(const revision_record& record, time_point deadline) -> leaf::result<bool>
{
    auto key = recordKey(record.id.number);
    BOOST_LEAF_AUTO(existing, m_store.get(key, deadline));
    if (existing && existing->value == record.bytes)
        return false;
    BOOST_LEAF_AUTO(outcome, write(key, existing ? existing->modRevision : 0, record.bytes, deadline));
    if (outcome == write_outcome::Refused)
        return failWith({ result_code::StoreCompareFailed, "another operator changed the history at the same time", {}, 0, "try again" });
    return true;
}

auto revision_publisher::removeForkedParent(const revision_record& oldest, time_point deadline) -> leaf::result<void>
{
    // A record that is not the parent of the oldest known record belongs to the fork that is abandoned.
    auto key = recordKey(oldest.id.number - 1);
    BOOST_LEAF_AUTO(entry, m_store.get(key, deadline));
    if (!entry)
        return {};
    BOOST_LEAF_AUTO(record, decodeRecord(entry->value));
    if (record.id.hash == oldest.header.parent)
        return {};
    return m_store.remove(key, deadline);
}

auto revision_publisher::overwrite(const config_revision& revision, time_point deadline) -> leaf::result<void>
{
    BOOST_LEAF_AUTO(head, m_store.get(headKey, deadline));
    for (auto index = size_t { 0 }; index < revision.chunks.size(); ++index)
        BOOST_LEAF_CHECK(writeOnce(chunkKey(revision.manifest.chunks[index]), *revision.chunks[index], deadline));
    BOOST_LEAF_CHECK(writeManifest(revision, deadline));
    // Restore the lost part of the history, newest first, down to the first record that the store still has.
    for (auto record = std::next(revision.recent.rbegin()); record != revision.recent.rend(); ++record) {
        BOOST_LEAF_AUTO(wasReplaced, replaceRecord(**record, deadline));
        if (!wasReplaced)
            break;
    }
    BOOST_LEAF_CHECK(removeForkedParent(*revision.recent.front(), deadline));
    BOOST_LEAF_AUTO(outcome, write(headKey, head ? head->modRevision : 0, revision.recent.back()->bytes, deadline));
    if (outcome == write_outcome::Refused)
        return failWith({ result_code::StoreCompareFailed, "another change was accepted at the same time", {}, 0, "check the history, then try again" });
    return {};
}

auto revision_publisher::removeOldRevisions(const revision_header& newest, uint32_t keptRevisions, time_point deadline) -> leaf::result<void>
{
    // The record after the last removed one must be stored already.
    assert(keptRevisions >= 2);
    auto removed = uint64_t { 0 };
    for (auto number = newest.number; number > keptRevisions && removed < maxRemovedRevisions; --number, ++removed) {
        BOOST_LEAF_AUTO(wasRemoved, removeRevision(number - keptRevisions, deadline));
        if (!wasRemoved)
            break;
    }
    return {};
}

auto revision_publisher::removeRevision(uint64_t number, time_point deadline) -> leaf::result<bool>
{
    BOOST_LEAF_AUTO(entry, m_store.get(recordKey(number), deadline));
    BOOST_LEAF_AUTO(next, readManifest(number + 1, deadline));
    if (!entry || !next)
        return false;
    BOOST_LEAF_AUTO(old, readManifest(number, deadline));
    // A chunk that the next revision does not reference is not referenced by any later one either, since tags are never reused.
    for (auto& reference : old ? old->chunks : std::vector<chunk_reference> {}) {
        if (std::ranges::find(next->chunks, reference) == next->chunks.end())
            BOOST_LEAF_CHECK(m_store.remove(chunkKey(reference), deadline));
    }
    BOOST_LEAF_AUTO(record, decodeRecord(entry->value));
    BOOST_LEAF_CHECK(m_store.remove(manifestKey(record.header.manifest), deadline));
    BOOST_LEAF_CHECK(m_store.remove(recordKey(number), deadline));
    return true;
}

auto revision_publisher::readManifest(uint64_t number, time_point deadline) -> leaf::result<std::optional<chunk_manifest>>
{
    BOOST_LEAF_AUTO(entry, m_store.get(recordKey(number), deadline));
    if (!entry)
        return std::optional<chunk_manifest> {};
    BOOST_LEAF_AUTO(record, decodeRecord(entry->value));
    BOOST_LEAF_AUTO(manifestEntry, m_store.get(manifestKey(record.header.manifest), deadline));
    if (!manifestEntry)
        return std::optional<chunk_manifest> {};
    BOOST_LEAF_AUTO(manifest, decodeManifest(manifestEntry->value));
    return std::optional(std::move(manifest));
}

} // namespace gypsumhub
