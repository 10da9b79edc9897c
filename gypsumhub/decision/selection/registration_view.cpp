#include "gypsumhub/decision/selection/registration_view.h"

#include "gypsumhub/core/hash.h"
#include "gypsumhub/core/store_position.h"

#include <algorithm>
#include <set>
#include <utility>

namespace gypsumhub {

namespace {

    // Live targets have registered again about 2 s after the store has recovered.
    constexpr auto reregistrationTime = milliseconds(2200);
    // Until then the store has removed the restored entries of targets that had left, after three missing heartbeats.
    constexpr auto outdatedEntryTime = milliseconds(10'000);
    constexpr auto maxTombstones = size_t { 4096 };

    auto digestOf(const target_registration& entry) -> uint64_t
    {
        auto identity = mixHashes(hashName(entry.id), hashName(entry.service));
        auto place = mixHashes(hashName(entry.address.address), entry.address.port);
        auto condition = mixHashes(entry.incarnation, entry.slots * 2U + (entry.isDraining ? 1U : 0U));
        return mixHashes(mixHashes(identity, place), condition);
    }

} // namespace

auto registration_view::put(const target_registration& entry) -> std::optional<view_change>
{
    m_revision = std::max(m_revision, entry.revision);
    if (auto removed = m_tombstones.find(entry.id); removed != m_tombstones.end()) {
        if (entry.revision <= removed->second.revision)
            return std::nullopt;
        m_tombstones.erase(removed);
    }
    auto known = m_entries.find(entry.id);
    auto isNew = known == m_entries.end();
    if (!isNew && entry.revision < known->second.revision)
        return std::nullopt;
    if (auto held = m_pendingRemovals.find(entry.id); held != m_pendingRemovals.end())
        m_pendingRemovals.erase(held);
    auto affectsRouting = isNew || !known->second.hasSameRouting(entry);
    m_digest += digestOf(entry) - (isNew ? 0 : digestOf(known->second));
    m_entries.insert_or_assign(entry.id, entry);
    return affectsRouting ? std::optional(view_change { entry }) : std::nullopt;
}

auto registration_view::remove(std::string_view id, uint64_t revision, view_source source, time_point now) -> std::optional<view_change>
{
    return removeOrHold(id, revision, source == view_source::Store ? m_holdRemovalsUntil : time_point {}, now);
}

auto registration_view::removeOrHold(std::string_view id, uint64_t revision, time_point holdUntil, time_point now) -> std::optional<view_change>
{
    m_revision = std::max(m_revision, revision);
    auto known = m_entries.find(id);
    if (known == m_entries.end() || known->second.revision > revision)
        return std::nullopt;
    if (now < holdUntil) {
        m_pendingRemovals.try_emplace(std::string(id), holdUntil);
        return std::nullopt;
    }
    auto change = view_change { known->second, true };
    change.registration.revision = std::max(revision, known->second.revision);
    if (m_tombstones.size() >= maxTombstones)
        m_tombstones.clear();
    m_tombstones[known->first] = { change.registration.revision, known->second.incarnation };
    if (auto held = m_pendingRemovals.find(id); held != m_pendingRemovals.end())
        m_pendingRemovals.erase(held);
    m_digest -= digestOf(known->second);
    m_entries.erase(known);
    return change;
}

auto registration_view::recordEra(uint64_t revision, time_point now) -> void
{
    auto isFirst = m_revision == 0;
    if (eraOf(revision) <= m_era)
        return;
    m_era = eraOf(revision);
    if (isFirst)
        return;
    m_keepMissingUntil = now + reregistrationTime;
    m_ignoreOutdatedUntil = now + outdatedEntryTime;
    m_isListingPending = true;
}

auto registration_view::isOutdated(const target_registration& entry) const -> bool
{
    auto isOlder = [&](uint64_t known) { return eraOf(known) < eraOf(entry.revision); };
    if (auto removed = m_tombstones.find(entry.id); removed != m_tombstones.end())
        return isOlder(removed->second.revision) && entry.incarnation <= removed->second.incarnation;
    auto known = m_entries.find(entry.id);
    if (known == m_entries.end() || !isOlder(known->second.revision))
        return false;
    auto isSame = entry.incarnation == known->second.incarnation;
    return entry.incarnation < known->second.incarnation || (isSame && known->second.isDraining && !entry.isDraining);
}

auto registration_view::takeListingDue(time_point now) -> bool
{
    return now >= m_ignoreOutdatedUntil && std::exchange(m_isListingPending, false);
}

auto registration_view::replace(std::span<const target_registration> listed, uint64_t revision, view_source source, time_point now,
    const bucket_digests::bucket_set& buckets) -> std::vector<view_change>
{
    auto isFromStore = source == view_source::Store;
    if (isFromStore || m_revision == 0)
        recordEra(revision, now);
    m_revision = std::max(m_revision, revision);
    auto changes = std::vector<view_change> {};
    for (auto& entry : listed) {
        if (isFromStore && now < m_ignoreOutdatedUntil && isOutdated(entry))
            continue;
        if (auto change = put(entry))
            changes.push_back(std::move(*change));
    }
    auto ids = std::set<std::string_view> {};
    for (auto& entry : listed)
        ids.insert(entry.id);
    auto missing = std::vector<std::string> {};
    for (auto& [id, entry] : m_entries) {
        if (buckets[bucket_digests::bucketOf(id)] && !ids.contains(id))
            missing.push_back(id);
    }
    auto holdUntil = isFromStore ? std::max(m_holdRemovalsUntil, m_keepMissingUntil) : time_point {};
    for (auto& id : missing) {
        if (auto change = removeOrHold(id, revision, holdUntil, now))
            changes.push_back(std::move(*change));
    }
    return changes;
}

auto registration_view::digests() const -> bucket_digests
{
    auto digests = bucket_digests {};
    for (auto& [id, entry] : m_entries)
        digests.add(id, digestOf(entry));
    return digests;
}

auto registration_view::recordStoreOutage(time_point now) -> void
{
    m_holdRemovalsUntil = now + reregistrationTime;
    for (auto& [id, until] : m_pendingRemovals)
        until = m_holdRemovalsUntil;
}

auto registration_view::takeDueRemovals(time_point now) -> std::vector<view_change>
{
    auto due = std::vector<std::string> {};
    for (auto& [id, until] : m_pendingRemovals) {
        if (until <= now)
            due.push_back(id);
    }
    auto changes = std::vector<view_change> {};
    for (auto& id : due) {
        m_pendingRemovals.erase(id);
        if (auto entry = m_entries.find(id); entry != m_entries.end()) {
            if (auto change = remove(id, entry->second.revision, view_source::Store, now))
                changes.push_back(std::move(*change));
        }
    }
    return changes;
}

} // namespace gypsumhub
