#include "fakes/fake_store_state.h"

namespace gypsumhub {

auto fake_store_state::find(std::string_view key, time_point now) -> std::optional<store_entry>
{
    expireLeases(now);
    auto found = m_content.entries.find(key);
    if (found == m_content.entries.end())
        return std::nullopt;
    return store_entry { found->first, found->second.value, found->second.modRevision };
}

auto fake_store_state::putIf(std::string_view key, uint64_t expectedRevision, std::string_view value, int64_t lease, time_point now) -> std::optional<uint64_t>
{
    auto current = find(key, now);
    auto currentRevision = current ? current->modRevision : 0;
    if (currentRevision != expectedRevision)
        return std::nullopt;
    ++m_content.revision;
    m_content.entries[std::string(key)] = { std::string(value), m_content.revision, lease };
    return m_content.revision;
}

auto fake_store_state::remove(std::string_view key) -> void
{
    auto found = m_content.entries.find(key);
    if (found == m_content.entries.end())
        return;
    m_content.entries.erase(found);
    ++m_content.revision;
}

auto fake_store_state::grantLease(time_point expiry) -> int64_t
{
    auto lease = m_nextLease++;
    m_content.leaseExpiry[lease] = expiry;
    return lease;
}

auto fake_store_state::keepLease(int64_t lease, time_point expiry, time_point now) -> bool
{
    expireLeases(now);
    auto found = m_content.leaseExpiry.find(lease);
    if (found == m_content.leaseExpiry.end())
        return false;
    found->second = expiry;
    return true;
}

auto fake_store_state::expireLeases(time_point now) -> void
{
    auto hasExpired = [&](auto& lease) { return lease.second <= now; };
    if (std::erase_if(m_content.leaseExpiry, hasExpired) == 0)
        return;
    auto isOrphan = [&](auto& entry) { return entry.second.lease != 0 && !m_content.leaseExpiry.contains(entry.second.lease); };
    if (std::erase_if(m_content.entries, isOrphan) > 0)
        ++m_content.revision;
}

auto fake_store_state::snapshot(const std::string& name) -> void
{
    m_snapshots[name] = m_content;
}

auto fake_store_state::restore(const std::string& name) -> bool
{
    auto found = m_snapshots.find(name);
    if (found == m_snapshots.end())
        return false;
    m_content = found->second;
    return true;
}

auto fake_store_state::valueBytes() const -> size_t
{
    auto bytes = size_t { 0 };
    for (auto& [key, stored] : m_content.entries)
        bytes += stored.value.size();
    return bytes;
}

} // namespace gypsumhub
