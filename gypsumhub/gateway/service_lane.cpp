#include "gypsumhub/gateway/service_lane.h"

#include "gypsumhub/core/clock.h"

namespace gypsumhub {

struct placement_wait {
    placement_wait(io_executor executor, placement_request given)
        : timer(executor)
        , request(std::move(given))
    {
    }

    steady_timer timer;
    placement_request request;
    uint64_t ticket { 0 };
    placement result;
    bool isFinished { false };
};

service_lane::service_lane(asio::io_context& context, std::string service, target_board& board, repeat_allowance::settings allowance)
    : m_context(context)
    , m_service(std::move(service))
    , m_board(board)
    , m_allowance(allowance)
{
}

auto service_lane::tryPlace(const placement_request& request, time_point now) -> std::optional<placement>
{
    auto chosen = m_board.choose({ m_service, request.isRetryable, request.tried }, now);
    if (chosen.usable == 0)
        return placement { placement_end::NoTarget };
    if (!chosen.target || (chosen.shouldWait && now < request.takeRiskAt))
        return std::nullopt;
    m_board.noteSent(*chosen.target, now);
    ++m_inFlight;
    return placement { placement_end::Placed, chosen.target, chosen.probabilityBad };
}

auto service_lane::place(placement_request request, std::shared_ptr<placement_wait>& handle) -> task<placement>
{
    auto now = bootClockNow();
    if (m_queue.isEmpty()) {
        if (auto placed = tryPlace(request, now))
            co_return *placed;
    }
    auto waiting = waiting_request { ++m_lastTicket, request.priority, request.arrivedAt, request.giveUpAt };
    auto usable = m_board.choose({ m_service, request.isRetryable, request.tried }, now).usable;
    auto verdict = m_queue.judge(waiting, { m_inFlight, usable, m_board.model(m_service).meanWork() });
    if (!verdict.mayWait)
        co_return placement { usable == 0 ? placement_end::NoTarget : placement_end::NoRoom, nullptr, 0, verdict.predictedWait };
    auto wait = std::make_shared<placement_wait>(m_context.get_executor(), std::move(request));
    wait->ticket = waiting.ticket;
    handle = wait;
    m_queue.add(waiting);
    m_waits.emplace(waiting.ticket, wait);
    wait->timer.expires_at(std::chrono::steady_clock::time_point::max());
    while (!wait->isFinished)
        co_await wait->timer.async_wait(useTask);
    handle.reset();
    wait->result.predictedWait = verdict.predictedWait;
    co_return wait->result;
}

auto service_lane::finish(uint64_t ticket, placement result) -> void
{
    m_queue.remove(ticket);
    auto found = m_waits.find(ticket);
    if (found == m_waits.end())
        return;
    found->second->result = std::move(result);
    found->second->isFinished = true;
    found->second->timer.cancel();
    m_waits.erase(found);
}

auto service_lane::callOff(placement_wait& wait) -> void
{
    if (!wait.isFinished)
        finish(wait.ticket, { placement_end::CallerLeft });
}

auto service_lane::release(target_state& target) -> void
{
    m_board.noteEnded(target);
    --m_inFlight;
    pump();
}

auto service_lane::pump() -> void
{
    auto now = bootClockNow();
    for (auto& expired : m_queue.takeExpired(now))
        finish(expired.ticket, { placement_end::NoRoom });
    while (auto first = m_queue.first()) {
        auto wait = m_waits.at(first->ticket);
        auto placed = tryPlace(wait->request, now);
        if (!placed)
            return;
        finish(first->ticket, std::move(*placed));
    }
}

} // namespace gypsumhub
