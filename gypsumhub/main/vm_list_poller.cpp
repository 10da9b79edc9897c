#include "gypsumhub/main/vm_list_poller.h"

#include "gypsumhub/core/clock.h"
#include "gypsumhub/core/hash.h"
#include "gypsumhub/core/random_generator.h"
#include "gypsumhub/store/http_vm_list.h"

#include <algorithm>
#include <condition_variable>
#include <mutex>

namespace gypsumhub {

namespace {

    constexpr auto fetchLimit = seconds(2);

    auto keysOf(const std::vector<std::string>& names) -> std::vector<vm_key>
    {
        auto keys = std::vector<vm_key> {};
        keys.reserve(names.size());
        for (auto& name : names)
            keys.push_back({ hashName(name) });
        std::ranges::sort(keys);
        return keys;
    }

    auto sleepFor(const std::stop_token& stop, duration time) -> void
    {
        auto mutex = std::mutex {};
        auto wake = std::condition_variable_any {};
        auto lock = std::unique_lock(mutex);
        wake.wait_for(lock, stop, std::chrono::nanoseconds(time.ns), [] { return false; });
    }

} // namespace

vm_list_poller::vm_list_poller(const vm_list_poller_settings& settings, std::function<void(vm_list_event)> listener)
    : m_settings(settings)
    , m_listener(std::move(listener))
    , m_intervalNs(settings.interval.ns)
    , m_thread([this](const std::stop_token& stop) { loop(stop); })
{
}

auto vm_list_poller::setFleetSize(size_t nodes) -> void
{
    m_intervalNs.store(intervalFor(m_settings.interval, nodes).ns, std::memory_order_relaxed);
}

auto vm_list_poller::intervalFor(duration shortest, size_t nodes) -> duration
{
    return std::max(shortest, seconds(1) * static_cast<int64_t>(nodes) / fleetReadsPerSecond);
}

auto vm_list_poller::failures() const -> uint64_t
{
    return m_failures.load(std::memory_order_relaxed);
}

auto vm_list_poller::loop(const std::stop_token& stop) -> void
{
    auto list = http_vm_list(m_settings.address);
    auto random = random_generator(m_settings.seed);
    auto last = vm_list_event {};
    while (!stop.stop_requested()) {
        auto content = leaf::try_handle_all(
            [&]() -> leaf::result<std::optional<vm_list_content>> {
                BOOST_LEAF_AUTO(fetched, list.fetch(wallClockNow() + fetchLimit));
                return std::optional(std::move(fetched));
            },
            [] { return std::optional<vm_list_content> {}; });
        if (!content) {
            m_failures.fetch_add(1, std::memory_order_relaxed);
        } else {
            auto next = vm_list_event { keysOf(content->live), keysOf(content->leaving) };
            // Only changes are reported.
            if (next.live != last.live || next.leaving != last.leaving)
                m_listener(next);
            last = std::move(next);
        }
        auto interval = duration { m_intervalNs.load(std::memory_order_relaxed) };
        auto quarter = static_cast<double>(interval.ns) / 4;
        auto jitter = static_cast<int64_t>(quarter * (2 * random.unit() - 1));
        sleepFor(stop, interval + duration { jitter });
    }
}

} // namespace gypsumhub
