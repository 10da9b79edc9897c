#include "gypsumhub/main/store_follower.h"

#include "gypsumhub/core/clock.h"

#include <condition_variable>
#include <mutex>
#include <utility>

namespace gypsumhub {

namespace {

    constexpr auto watchLimit = seconds(2);
    constexpr auto readLimit = seconds(4);
    constexpr auto retryWait = std::chrono::milliseconds(500);

} // namespace

store_follower::store_follower(store& source, std::function<void(std::shared_ptr<const config_revision>)> listener,
    std::function<void(const fault&)> refused)
    : m_loader(source)
    , m_listener(std::move(listener))
    , m_refused(std::move(refused))
    , m_thread([this](const std::stop_token& stop) { loop(stop); })
{
}

auto store_follower::storeReachable() const -> bool
{
    return m_reachable.load(std::memory_order_relaxed);
}

auto store_follower::loadNext(const std::shared_ptr<const config_revision>& held) -> std::shared_ptr<const config_revision>
{
    auto now = wallClockNow();
    return leaf::try_handle_all(
        [&]() -> leaf::result<std::shared_ptr<const config_revision>> {
            BOOST_LEAF_AUTO(loaded, m_loader.loadNext(held, now + watchLimit, now + readLimit));
            m_reachable = true;
            return loaded;
        },
        [&](const fault_list& list) {
            m_reachable = false;
            for (auto& entry : list.faults)
                m_refused(entry);
            return held;
        },
        [&] { return held; });
}

auto store_follower::loop(const std::stop_token& stop) -> void
{
    auto held = std::shared_ptr<const config_revision> {};
    auto mutex = std::mutex {};
    auto wake = std::condition_variable_any {};
    while (!stop.stop_requested()) {
        auto next = loadNext(held);
        if (next != held)
            m_listener(next);
        held = std::move(next);
        if (m_reachable)
            continue;
        auto lock = std::unique_lock(mutex);
        wake.wait_for(lock, stop, retryWait, [] { return false; });
    }
}

} // namespace gypsumhub
