#include "gypsumhub/proxy/slot_queue.h"

#include "gypsumhub/core/clock.h"

#include <algorithm>
#include <vector>

namespace gypsumhub {

slot_queue::slot_queue(proxy_context& context, asio::io_context& ioContext, service_key service, uint32_t thread, uint64_t seed)
    : m_context(context)
    , m_ioContext(ioContext)
    , m_service(service)
    , m_thread(thread)
    , m_sharedState(context.services.find(service))
    , m_random(seed)
    , m_queue(0)
{
}

auto slot_queue::acquire(slot_query query, request_cancellation& cancellation) -> task<slot_grant>
{
    auto grant = slot_grant {};
    // New requests do not bypass waiting ones; they join the queue, which is ordered by deadline.
    auto mayTry = !hasWaiters();
    while (true) {
        grant.code = refreshView(grant, query);
        if (grant.code != result_code::Ok)
            co_return grant;
        auto slots = totalSlots(*grant.service);
        if (mayTry) {
            // A node without slots of its own must borrow one. This occurs in services with fewer slots than serving nodes.
            auto mayBorrow = slots == 0 && m_sharedState.retries.borrowing().isOpen(m_context.now());
            auto choice = target_query { query.excluded, query.idempotent, m_random(), mayBorrow };
            grant.target = chooseTarget(*grant.service, choice);
            if (grant.target)
                co_return grant;
        }
        m_queue.setLimit(grant.service->spec->rules.queueLimit);
        grant.code = co_await waitForSlot(query, cancellation, slots);
        if (grant.code != result_code::Ok)
            co_return grant;
        mayTry = true;
    }
}

auto slot_queue::refreshView(slot_grant& grant, const slot_query& query) const -> result_code
{
    grant.snapshot = m_context.snapshot.load();
    grant.service = grant.snapshot ? grant.snapshot->findService(m_service) : nullptr;
    if (!grant.service)
        return result_code::UnknownService;
    auto isExcluded = [&](const target_view& target) { return std::ranges::find(query.excluded, target.key) != query.excluded.end(); };
    if (std::ranges::all_of(grant.service->targets, isExcluded))
        return result_code::NoTargetAvailable;
    return result_code::Ok;
}

auto slot_queue::waitForSlot(const slot_query& query, request_cancellation& cancellation, uint32_t slots) -> task<result_code>
{
    auto now = m_context.now();
    auto id = m_nextWaiter++;
    auto code = m_queue.admit(id, query.deadline, now, slots);
    if (code != result_code::Ok)
        co_return code;
    auto entry = std::make_shared<waiter>(waiter { steady_timer(m_ioContext) });
    m_waiters.emplace(id, entry);
    m_sharedState.waiting.fetch_add(1, std::memory_order_relaxed);
    cancellation.setHandler([this, id] { wake(id, result_code::CallerWentAway); });
    entry->timer.expires_after(std::chrono::nanoseconds((query.deadline - now).ns));
    // A slot may have been released between the failed choice and joining the queue.
    wakeWaiters();
    if (m_waiters.contains(id)) {
        auto [error] = co_await entry->timer.async_wait(useTask);
        if (!error)
            entry->code = result_code::DeadlineBeforeSend;
    }
    cancellation.setHandler(nullptr);
    m_waiters.erase(id);
    m_queue.remove(id);
    m_sharedState.waiting.fetch_sub(1, std::memory_order_relaxed);
    co_return entry->code;
}

auto slot_queue::release(slot_lease lease, time_point since) -> void
{
    lease.release();
    m_queue.recordHoldTime(steadyClockNow() - since);
    if (hasWaiters())
        return wakeWaiters();
    if (m_sharedState.waiting.load(std::memory_order_relaxed) > 0)
        m_context.notifyFreeSlot(m_service, m_thread);
}

auto slot_queue::wakeWaiters() -> void
{
    if (!hasWaiters())
        return;
    auto snapshot = m_context.snapshot.load();
    auto service = snapshot ? snapshot->findService(m_service) : nullptr;
    auto expired = std::vector<admission_queue::waiter_id> {};
    auto now = m_context.now();
    m_queue.expire(now, expired);
    for (auto free = service ? freeSlots(*service) : 0; free > 0; --free) {
        auto id = m_queue.next(now, expired);
        if (!id)
            break;
        wake(*id, result_code::Ok);
    }
    for (auto id : expired)
        wake(id, result_code::DeadlineBeforeSend);
}

auto slot_queue::wake(admission_queue::waiter_id id, result_code code) -> void
{
    auto found = m_waiters.find(id);
    if (found == m_waiters.end())
        return;
    found->second->code = code;
    found->second->timer.cancel();
    m_waiters.erase(found);
}

} // namespace gypsumhub
