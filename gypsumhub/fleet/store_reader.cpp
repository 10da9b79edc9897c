#include "gypsumhub/fleet/store_reader.h"

#include <algorithm>

namespace gypsumhub {

namespace {

    constexpr auto maxPauseDoublings = uint32_t { 8 };

} // namespace

store_reader::store_reader(const settings& limits, store& source, store_reader_host& host)
    : m_settings(limits)
    , m_loader(source)
    , m_host(host)
    , m_random(limits.seed)
{
}

auto store_reader::step(time_point now) -> time_point
{
    if (!m_host.shouldReadStore()) {
        m_watching = false;
        return now + m_settings.idleTime;
    }
    if (!read(now))
        return pauseAfterFailure(now);
    m_failures = 0;
    m_watching = true;
    return now;
}

auto store_reader::read(time_point now) -> bool
{
    auto held = m_host.heldRevision();
    auto heldId = held ? held->id : revision_id {};
    auto watchUntil = now + m_settings.watchTime;
    auto loadNext = [&]() -> leaf::result<std::shared_ptr<const config_revision>> {
        // The first read answers at once; watching comes after it.
        if (!m_watching)
            return m_loader.load(held, now + m_settings.readTime);
        return m_loader.loadNext(held, watchUntil, watchUntil + m_settings.readTime);
    };
    return leaf::try_handle_all(
        [&]() -> leaf::result<bool> {
            BOOST_LEAF_AUTO(revision, loadNext());
            // An empty store is asked again after a pause, not in a loop.
            auto isUseful = revision != nullptr;
            m_host.onStoreRevision(std::move(revision), heldId);
            return isUseful;
        },
        [&](const fault_list& list) {
            m_host.onStoreFault(list.faults.front());
            return false;
        },
        [&] {
            m_host.onStoreFault({ result_code::Internal, "the store reader failed without a reason" });
            return false;
        });
}

auto store_reader::pauseAfterFailure(time_point now) -> time_point
{
    m_watching = false;
    auto doublings = std::min(m_failures++, maxPauseDoublings);
    auto pause = std::min(m_settings.firstPause * (int64_t { 1 } << doublings), m_settings.longestPause);
    // Between half and one and a half, so that readers of a returning store come one after another.
    return now + pause / 2 + duration { static_cast<int64_t>(m_random.below(static_cast<uint64_t>(pause.ns) + 1)) };
}

} // namespace gypsumhub
