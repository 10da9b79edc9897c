#include "gypsumhub/fleet/store_reader.h"

#include <algorithm>

namespace gypsumhub {

namespace {

    constexpr auto maxBackoffDoublings = uint32_t { 8 };

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
        return now + m_settings.pollInterval;
    }
    if (!read(now))
        return scheduleRetry(now);
    m_failures = 0;
    m_watching = true;
    return now;
}

auto store_reader::read(time_point now) -> bool
{
    auto held = m_host.heldRevision();
    auto heldId = held ? held->id : revision_id {};
    auto watchUntil = now + m_settings.watchTimeout;
    auto loadNext = [&]() -> leaf::result<std::shared_ptr<const config_revision>> {
        // The first read and reads after a failure return at once; others wait in a watch.
        if (!m_watching)
            return m_loader.load(held, now + m_settings.readTimeout);
        return m_loader.loadNext(held, watchUntil, watchUntil + m_settings.readTimeout);
    };
    return leaf::try_handle_all(
        [&]() -> leaf::result<bool> {
            BOOST_LEAF_AUTO(revision, loadNext());
            // An empty store counts as a failure, so that it is read again after a backoff instead of in a loop.
            auto isUseful = revision != nullptr;
            m_host.onStoreRevision(std::move(revision), heldId);
            return isUseful;
        },
        [&](const fault_list& list) {
            m_host.onStoreFault(list.faults.front());
            return false;
        },
        [&] {
            m_host.onStoreFault({ result_code::Internal, "the store reader failed with an unknown error" });
            return false;
        });
}

auto store_reader::scheduleRetry(time_point now) -> time_point
{
    m_watching = false;
    auto doublings = std::min(m_failures++, maxBackoffDoublings);
    auto pause = std::min(m_settings.initialBackoff * (int64_t { 1 } << doublings), m_settings.maxBackoff);
    // Jitter between half and one and a half spreads the readers of a store that comes back.
    return now + pause / 2 + duration { static_cast<int64_t>(m_random.below(static_cast<uint64_t>(pause.ns) + 1)) };
}

} // namespace gypsumhub
