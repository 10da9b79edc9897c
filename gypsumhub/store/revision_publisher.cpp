#include "gypsumhub/store/revision_publisher.h"

#include "gypsumhub/config/revision_codec.h"
#include "gypsumhub/store/caught_result.h"
#include "gypsumhub/store/configuration_keys.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace gypsumhub {

namespace {

    /// Longest wait for one call; leaves time to repeat it.
    constexpr auto callLimit = seconds(5);
    constexpr auto firstPause = milliseconds(50);
    constexpr auto longestPause = seconds(2);
    /// Old revisions removed with one change, so that what an interrupted removal left behind goes too.
    constexpr auto maxRemovedRevisions = uint64_t { 4 };

    auto leavesOutcomeOpen(result_code code) -> bool
    {
        return code == result_code::StoreReplyLost || code == result_code::StoreTimeout || code == result_code::StoreProtocolError;
    }

    auto mayBeRepeated(result_code code) -> bool
    {
        return leavesOutcomeOpen(code) || code == result_code::StoreUnavailable || code == result_code::StoreBudgetSpent;
    }

} // namespace

revision_publisher::revision_publisher(store& destination, store_clock clock)
    : m_store(destination)
    , m_clock(std::move(clock))
{
}

auto revision_publisher::write(std::string_view key, uint64_t expectedRevision, std::string_view value, time_point deadline) -> leaf::result<write_outcome>
{
    auto isOpen = false;
    auto pause = firstPause;
    while (true) {
        auto callDeadline = std::min(deadline, m_clock.now() + callLimit);
        auto outcome = catchFaults<uint64_t>([&] { return m_store.compareAndSwap(key, expectedRevision, value, callDeadline); });
        if (outcome.value)
            return write_outcome::Written;
        auto code = outcome.code();
        isOpen = isOpen || leavesOutcomeOpen(code);
        if (code == result_code::StoreCompareFailed) {
            if (!isOpen)
                return write_outcome::Refused;
            // An earlier try may have taken effect although its reply was lost.
            auto current = catchFaults<std::optional<store_entry>>([&] { return m_store.get(key, callDeadline); });
            if (current.value)
                return *current.value && (*current.value)->value == value ? write_outcome::Written : write_outcome::Refused;
            code = current.code();
            outcome.faults = std::move(current.faults);
        }
        if (!mayBeRepeated(code) || m_clock.now() + pause >= deadline) {
            if (!isOpen)
                return leaf::new_error(std::move(outcome.faults));
            return failWith({ result_code::StoreReplyLost, "the store did not say whether it wrote '" + std::string(key) + "'" });
        }
        m_clock.waitUntil(m_clock.now() + pause);
        pause = std::min(pause * 2, longestPause);
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
    return failWith({ result_code::ConfigurationForked, "the store holds another revision " + std::to_string(record.id.number) + " than the one in force continues", {}, 0,
        "see docs/operators/store_outage.md" });
}

auto revision_publisher::writeManifest(const config_revision& revision, time_point deadline) -> leaf::result<void>
{
    return writeOnce(manifestKey(revision.header.manifest), encodeManifest(revision.manifest), deadline);
}

auto revision_publisher::publish(const config_revision& next, const std::optional<configuration_head>& parent, time_point deadline) -> leaf::result<bool>
{
    // What the head will name has to be there before the head names it.
    auto tag = chunkTag(next.header.operationId);
    for (auto index = size_t { 0 }; index < next.chunks.size(); ++index) {
        auto& reference = next.manifest.chunks[index];
        if (reference.tag == tag)
            BOOST_LEAF_CHECK(writeOnce(chunkKey(reference), *next.chunks[index], deadline));
    }
    BOOST_LEAF_CHECK(writeManifest(next, deadline));
    if (parent)
        BOOST_LEAF_CHECK(writeRecord(parent->record, deadline));
    BOOST_LEAF_AUTO(isAccepted, moveHead(*next.recent.back(), parent ? parent->modRevision : 0, deadline));
    if (isAccepted)
        return true;
    // Failing to tidy up does not change what happened to the head.
    catchFaults<bool>([&]() -> leaf::result<bool> {
        BOOST_LEAF_CHECK(removeContent(next, deadline));
        return true;
    });
    return false;
}

auto revision_publisher::moveHead(const revision_record& record, uint64_t expectedRevision, time_point deadline) -> leaf::result<bool>
{
    auto settled = catchFaults<bool>([&]() -> leaf::result<bool> {
        BOOST_LEAF_AUTO(outcome, write(headKey, expectedRevision, record.bytes, deadline));
        if (outcome == write_outcome::Written)
            return true;
        // Others may have built on this revision already, when its reply was lost.
        return isInHistory(record, deadline);
    });
    if (settled.value)
        return *settled.value;
    if (!leavesOutcomeOpen(settled.code()))
        return leaf::new_error(std::move(settled.faults));
    return failWith({ result_code::StoreReplyLost, "it is open whether the change was accepted; its operation id is " + record.header.operationId, {}, 0,
        "look for the id in `gypsumhub history` once the store answers" });
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
        return failWith({ result_code::StoreCompareFailed, "another operator writes the history at the same time", {}, 0, "try again" });
    return true;
}

auto revision_publisher::removeForeignParent(const revision_record& oldest, time_point deadline) -> leaf::result<void>
{
    // A record that is not the parent of the oldest known one belongs to the history that is given up.
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
    // Give back the lost part of the history, newest first, until it meets what the store still has.
    for (auto record = std::next(revision.recent.rbegin()); record != revision.recent.rend(); ++record) {
        BOOST_LEAF_AUTO(wasReplaced, replaceRecord(**record, deadline));
        if (!wasReplaced)
            break;
    }
    BOOST_LEAF_CHECK(removeForeignParent(*revision.recent.front(), deadline));
    BOOST_LEAF_AUTO(outcome, write(headKey, head ? head->modRevision : 0, revision.recent.back()->bytes, deadline));
    if (outcome == write_outcome::Refused)
        return failWith({ result_code::StoreCompareFailed, "another change was accepted at the same time", {}, 0, "look at the history, then try again" });
    return {};
}

auto revision_publisher::removeOldRevisions(const revision_header& newest, uint32_t keptRevisions, time_point deadline) -> leaf::result<void>
{
    // The record after the last one that goes must be stored already.
    assert(keptRevisions >= 2);
    auto removed = uint64_t { 0 };
    for (auto number = newest.number; number > keptRevisions && removed < maxRemovedRevisions; --number, ++removed) {
        BOOST_LEAF_AUTO(wasThere, removeRevision(number - keptRevisions, deadline));
        if (!wasThere)
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
    // A chunk that the next revision does not name is named by no later one either: tags are never used twice.
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
