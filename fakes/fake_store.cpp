#include "fakes/fake_store.h"

#include <algorithm>
#include <utility>

namespace gypsumhub {

fake_store::fake_store(time_point& clock)
    : m_now(clock)
{
}

auto fake_store::simulateCall(time_point deadline) -> leaf::result<void>
{
    auto& faults = m_state.faults;
    if (m_now < faults.outageUntil) {
        m_now = std::max(m_now, std::min(deadline, faults.outageUntil));
        return failWith({ result_code::StoreUnavailable, "the store cannot be reached" });
    }
    if (m_now + faults.delay > deadline) {
        m_now = std::max(m_now, deadline);
        return failWith({ result_code::StoreTimeout, "the store did not answer in time" });
    }
    m_now = m_now + faults.delay;
    return {};
}

auto fake_store::get(std::string_view key, time_point deadline) -> leaf::result<std::optional<store_entry>>
{
    auto lock = std::scoped_lock(m_mutex);
    ++m_state.counts.gets;
    BOOST_LEAF_CHECK(simulateCall(deadline));
    return m_state.find(key, m_now);
}

auto fake_store::compareAndSwap(std::string_view key, uint64_t expectedRevision, std::string_view value, time_point deadline) -> leaf::result<uint64_t>
{
    auto lock = std::scoped_lock(m_mutex);
    runBeforeWrite(key);
    ++m_state.counts.swaps;
    auto& faults = m_state.faults;
    // A slow store still applies the write after the client has timed out.
    if (m_now >= faults.outageUntil && m_now + faults.delay > deadline)
        m_state.putIf(key, expectedRevision, value, 0, m_now);
    BOOST_LEAF_CHECK(simulateCall(deadline));
    if (faults.lostRequests > 0) {
        --faults.lostRequests;
        return failWith({ result_code::StoreReplyLost, "the connection was lost" });
    }
    auto revision = m_state.putIf(key, expectedRevision, value, 0, m_now);
    if (faults.lostReplies > 0) {
        --faults.lostReplies;
        return failWith({ result_code::StoreReplyLost, "the connection was lost" });
    }
    if (!revision)
        return failWith({ result_code::StoreCompareFailed, "the value changed before the write" });
    return *revision;
}

auto fake_store::remove(std::string_view key, time_point deadline) -> leaf::result<void>
{
    auto lock = std::scoped_lock(m_mutex);
    ++m_state.counts.removals;
    BOOST_LEAF_CHECK(simulateCall(deadline));
    m_state.remove(key);
    return {};
}

auto fake_store::acquireLease(std::string_view name, std::string_view holder, time_point validUntil, time_point deadline)
    -> leaf::result<std::optional<time_point>>
{
    auto lock = std::scoped_lock(m_mutex);
    ++m_state.counts.leases;
    BOOST_LEAF_CHECK(simulateCall(deadline));
    auto key = "lease/" + std::string(name);
    auto current = m_state.find(key, m_now);
    if (current && current->value != holder)
        return std::optional<time_point> {};
    m_state.putIf(key, current ? current->modRevision : 0, holder, m_state.grantLease(validUntil), m_now);
    return std::optional(validUntil);
}

auto fake_store::watch(std::string_view key, uint64_t afterRevision, time_point deadline) -> leaf::result<std::optional<store_entry>>
{
    auto lock = std::scoped_lock(m_mutex);
    ++m_state.counts.watches;
    BOOST_LEAF_CHECK(simulateCall(deadline));
    auto current = m_state.find(key, m_now);
    if (!m_state.faults.silentWatches && current && current->modRevision > afterRevision)
        return current;
    m_now = std::max(m_now, deadline);
    return std::optional<store_entry> {};
}

auto fake_store::beforeNextWrite(std::string prefix, std::function<void()> action) -> void
{
    m_awaitedPrefix = std::move(prefix);
    m_beforeWrite = std::move(action);
}

auto fake_store::runBeforeWrite(std::string_view key) -> void
{
    if (!m_beforeWrite || !key.starts_with(m_awaitedPrefix))
        return;
    // Cleared first, since the action itself writes to the store.
    auto action = std::exchange(m_beforeWrite, nullptr);
    action();
}

} // namespace gypsumhub
