#include "fakes/schedule_run.h"

#include "fakes/schedule_state.h"
#include "fakes/target_model.h"
#include "gypsumhub/decision/event.h"

#include <algorithm>
#include <cmath>
#include <queue>

namespace gypsumhub {

namespace {

    constexpr auto nonIdempotentShare = 0.3;
    constexpr auto maxNaiveAttempts = uint32_t { 3 };
    constexpr auto maxCallerAttempts = uint32_t { 3 };
    constexpr auto falseEjectionWindow = seconds(60);
    // A VM is absent from the platform's list for this long before its cold start.
    constexpr auto coldStartAbsence = seconds(3);
    constexpr auto idleConnections = uint32_t { 4 };
    constexpr auto retryPercent = uint32_t { 10 };

    /// Event loop of one run: callers, network delays, targets and their faults.
    class schedule_runner final : public schedule_environment {
    public:
        schedule_runner(const schedule& plan, schedule_router& router, request_policy policy)
            : m_plan(plan)
            , m_router(router)
            , m_naive(policy == request_policy::Naive)
            , m_random(plan.seed ^ 0x5bd1e995)
            , m_nodes(nodesPerDataCentre(plan) * 4)
            , m_deadConnections(m_nodes.size() * plan.targets, 0)
            , m_activeFaults(plan.targets)
            , m_lastFalseEjection(plan.targets, time_point {} - falseEjectionWindow)
        {
            for (auto target = size_t { 0 }; target < plan.targets; ++target)
                m_targets.emplace_back(plan.deployment.slots, m_random());
            auto wholeSeconds = static_cast<size_t>(plan.until.ns / seconds(1).ns) + 1;
            m_result.offeredPerSecond.resize(wholeSeconds);
            m_result.answeredPerSecond.resize(wholeSeconds);
            for (auto& fault : plan.faults)
                m_result.detection.push_back(fault.until - fault.from);
            m_detected.resize(plan.faults.size(), false);
        }

        auto run() -> schedule_result
        {
            m_router.start(*this);
            for (auto index = size_t { 0 }; index < m_plan.faults.size(); ++index)
                scheduleFault(index);
            tickAndReschedule();
            scheduleNextArrival();
            while (!m_actions.empty() && m_actions.top().at < m_plan.until) {
                auto next = std::move(const_cast<timed_action&>(m_actions.top()));
                m_actions.pop();
                m_now = next.at;
                next.action();
            }
            for (auto& target : m_targets) {
                m_result.taken.push_back(target.accepted);
                m_result.shed += target.shed;
            }
            return std::move(m_result);
        }

        auto now() const -> time_point override { return m_now; }

        auto after(duration delay, std::function<void()> action) -> void override
        {
            m_actions.push({ m_now + delay, m_order++, std::move(action) });
        }

        auto probe(size_t node, size_t target, time_point deadline) -> void override
        {
            auto startedAt = m_now;
            auto delay = delayTo(node, target);
            after(delay, [=, this] {
                auto exchange = m_targets[target].probe(m_now, m_activeFaults[target], isPathCut(node, target));
                auto endsAt = std::min(exchange.endsAt == never ? never : exchange.endsAt + delay, deadline);
                auto result = endsAt == deadline ? attempt_result::Silent : exchange.result;
                after(endsAt - m_now, [=, this] {
                    m_router.report(node, target, { .result = result, .startedAt = startedAt, .endedAt = m_now, .probe = true });
                });
            });
        }

        auto closeIdleConnections(size_t node, size_t target) -> void override { deadConnections(node, target) = 0; }

        auto rotationChanged(size_t target) -> void override
        {
            for (auto index = size_t { 0 }; index < m_plan.faults.size(); ++index) {
                auto& fault = m_plan.faults[index];
                if (fault.target == target && !m_detected[index] && m_now >= fault.from && m_now < fault.until)
                    checkDetected(index);
            }
        }

        auto ejected(size_t node, size_t target) -> void override
        {
            // Evidence from a fault may still eject the target shortly after the fault ends.
            for (auto& fault : m_plan.faults) {
                auto involved = fault.target == target || fault.kind == fault_kind::WholeServiceSlow;
                auto isExempt = !isTargetFault(fault.kind) && fault.kind != fault_kind::Drain && !isPathCut(node, target);
                if (involved && !isExempt && m_now >= fault.from && m_now < fault.until + seconds(2))
                    return;
            }
            if (m_now - m_lastFalseEjection[target] >= falseEjectionWindow)
                ++m_result.falseEjections;
            m_lastFalseEjection[target] = m_now;
        }

        auto floorViolated(size_t) -> void override { ++m_result.floorViolations; }

    private:
        auto delayTo(size_t node, size_t target) const -> duration
        {
            return delayBetween(m_plan.deployment, dataCentreOf(node), dataCentreOf(target));
        }

        auto deadConnections(size_t node, size_t target) -> uint32_t& { return m_deadConnections[node * m_plan.targets + target]; }

        auto isPathCut(size_t node, size_t target) const -> bool
        {
            auto cut = std::ranges::find(m_activeFaults[target], fault_kind::AsymmetricPath) != m_activeFaults[target].end();
            return cut && dataCentreOf(node) == (dataCentreOf(target) + 1) % 4;
        }

        auto hasTargetFault(size_t target) const -> bool
        {
            return std::ranges::any_of(m_activeFaults[target], isTargetFault);
        }

        auto scheduleFault(size_t index) -> void
        {
            auto& fault = m_plan.faults[index];
            auto forEach = [this, &fault](const auto& change) {
                for (auto target = size_t { 0 }; target < m_plan.targets; ++target) {
                    if (fault.kind == fault_kind::WholeServiceSlow || target == fault.target)
                        change(m_activeFaults[target]);
                }
            };
            after(fault.from - m_now, [this, index, forEach, &fault] {
                forEach([&](auto& kinds) { kinds.push_back(fault.kind); });
                if (fault.kind == fault_kind::DeadConnections)
                    deadConnections(fault.target % m_nodes.size(), fault.target) = idleConnections;
                if (fault.kind == fault_kind::ColdStart)
                    m_router.listChanged(fault.target, true);
                checkDetected(index);
            });
            if (fault.kind == fault_kind::ColdStart)
                after(fault.from - coldStartAbsence - m_now, [this, &fault] { m_router.listChanged(fault.target, false); });
            after(fault.until - m_now, [forEach, &fault] {
                forEach([&](auto& kinds) { kinds.erase(std::ranges::find(kinds, fault.kind)); });
            });
        }

        auto checkDetected(size_t index) -> void
        {
            auto& fault = m_plan.faults[index];
            for (auto node = size_t { 0 }; node < m_nodes.size(); ++node) {
                if (m_router.routesTo(node, fault.target))
                    return;
            }
            m_detected[index] = true;
            m_result.detection[index] = m_now - fault.from;
        }

        auto tickAndReschedule() -> void
        {
            m_router.tick();
            for (auto node = size_t { 0 }; node < m_nodes.size(); ++node)
                serveQueue(node);
            after(tickInterval, [this] { tickAndReschedule(); });
        }

        auto scheduleNextArrival() -> void
        {
            auto gap = -std::log(1 - m_random.unit()) / rateAt(m_plan, m_now);
            after({ static_cast<int64_t>(gap * 1e9) }, [this] {
                auto idempotent = m_random.unit() >= nonIdempotentShare;
                arrive(idempotent, 1);
                scheduleNextArrival();
            });
        }

        auto arrive(bool idempotent, uint32_t callerAttempt) -> void
        {
            ++m_result.requests;
            ++m_result.offeredPerSecond[second()];
            auto deadline = m_now + m_plan.deadline;
            auto request = std::make_shared<modelled_request>(modelled_request { request_state({ idempotent, deadline }) });
            request->node = m_random.below(m_nodes.size());
            request->deadline = deadline;
            request->idempotent = idempotent;
            request->callerAttempt = callerAttempt;
            if (!m_naive)
                m_nodes[request->node].budget.recordFirstAttempt(retryPercent);
            dispatch(request);
        }

        auto second() const -> size_t { return static_cast<size_t>(m_now.ns / seconds(1).ns); }

        auto dispatch(const request_ptr& request) -> void
        {
            // New requests do not bypass queued ones. A non-empty queue means that no slot is free.
            auto mayChoose = m_naive || m_nodes[request->node].queue.size() == 0;
            auto choice = std::optional<routed_choice> {};
            if (mayChoose)
                choice = m_router.choose(request->node, request->triedTargets, request->idempotent, mayBorrow(request->node));
            if (choice)
                send(request, std::move(*choice));
            else if (m_naive)
                conclude(request, { request_step::Refuse, result_code::NoTargetAvailable });
            else
                waitForSlot(request);
        }

        auto mayBorrow(size_t node) const -> bool { return m_nodes[node].budget.borrowing().isOpen(m_now); }
        auto queueSlots(size_t node) const -> uint32_t { return std::max(m_router.slots(node), 1u); }

        auto waitForSlot(const request_ptr& request) -> void
        {
            auto& node = m_nodes[request->node];
            auto id = node.nextQueueId++;
            auto code = node.queue.admit(id, request->deadline, m_now, queueSlots(request->node));
            if (code == result_code::Ok)
                node.queued[id] = request;
            else
                conclude(request, request->state.refuse(code));
        }

        auto serveQueue(size_t index) -> void
        {
            auto& node = m_nodes[index];
            auto expired = std::vector<uint64_t> {};
            node.queue.expire(m_now, expired);
            while (node.queue.size() > 0) {
                auto choice = m_router.choose(index, {}, false, m_router.slots(index) == 0 && mayBorrow(index));
                if (!choice)
                    break;
                auto id = node.queue.next(m_now, expired);
                if (!id)
                    break;
                auto request = node.queued.extract(*id).mapped();
                send(request, std::move(*choice));
            }
            for (auto id : expired) {
                auto request = node.queued.extract(id).mapped();
                conclude(request, request->state.refuse(result_code::DeadlineBeforeSend));
            }
        }

        auto send(const request_ptr& request, routed_choice choice) -> void
        {
            auto target = choice.target;
            auto attempt = m_naive ? std::optional<uint32_t>(request->attempts) : request->state.startAttempt();
            ++request->attempts;
            request->triedTargets.push_back(target);
            // Connecting to a VM that has vanished fails, so no byte is sent.
            auto connects = std::ranges::find(m_activeFaults[target], fault_kind::Vanished) == m_activeFaults[target].end();
            if (connects) {
                ++m_result.attempts;
                m_result.firstAttempts += request->sent ? 0 : 1;
                request->sent = true;
            }
            if (!m_naive && connects && !request->state.permitSend(*attempt, m_now)) {
                end(request, target, *attempt, attempt_result::Cancelled, m_now, false, std::move(choice.lease));
                return;
            }
            auto sentAt = m_now;
            auto lease = std::make_shared<slot_lease>(std::move(choice.lease));
            if (deadConnections(request->node, target) > 0) {
                --deadConnections(request->node, target);
                finishAt(request, target, *attempt, { attempt_result::Silent, never }, sentAt, true, lease);
                return;
            }
            after(delayTo(request->node, target), [=, this] {
                auto isFaulty = hasTargetFault(target);
                auto exchange = modelled_exchange { attempt_result::ConnectFailed, m_now };
                if (connects)
                    exchange = m_targets[target].accept(m_now, m_activeFaults[target], isPathCut(request->node, target));
                if (exchange.ran)
                    ++request->runs;
                if (exchange.ran && !request->idempotent && request->runs > 1)
                    ++m_result.duplicateExecutions;
                if (isFaulty)
                    ++m_result.requestsToFaultyTargets;
                // Targets honour deadlines and cancellation: a slot is released when the request's deadline passes.
                auto heldUntil = std::min(exchange.endsAt, request->deadline + delayTo(request->node, target));
                if (exchange.holdsSlot)
                    after(heldUntil - m_now, [=, this] { m_targets[target].release(); });
                finishAt(request, target, *attempt, exchange, sentAt, false, lease);
            });
        }

        auto finishAt(const request_ptr& request, size_t target, uint32_t attempt, modelled_exchange exchange, time_point sentAt,
            bool reused, const std::shared_ptr<slot_lease>& lease) -> void
        {
            auto answeredAt = exchange.endsAt == never ? never : exchange.endsAt + delayTo(request->node, target);
            auto result = exchange.result;
            if (answeredAt >= request->deadline) {
                answeredAt = request->deadline;
                result = result == attempt_result::HungAfterHeader ? result : attempt_result::Silent;
            }
            auto overdueAt = m_router.overdueAt(request->node, sentAt);
            if (overdueAt < answeredAt) {
                after(std::max(overdueAt - m_now, duration {}), [=, this] {
                    report(request->node, target, attempt_result::Overdue, sentAt, reused);
                });
            }
            after(std::max(answeredAt - m_now, duration {}), [=, this] {
                report(request->node, target, result, sentAt, reused);
                end(request, target, attempt, result, sentAt, reused, std::move(*lease));
            });
        }

        auto report(size_t node, size_t target, attempt_result result, time_point sentAt, bool reused) -> void
        {
            m_router.report(node, target, { .result = result, .startedAt = sentAt, .endedAt = m_now, .reusedConnection = reused });
        }

        auto end(const request_ptr& request, size_t target, uint32_t attempt, attempt_result result, time_point sentAt, bool reused, slot_lease lease)
            -> void
        {
            lease.release();
            auto& node = m_nodes[request->node];
            if (m_naive)
                return endNaive(request, result);
            node.queue.recordHoldTime(m_now - sentAt);
            auto step = request->state.endAttempt(attempt, result, reused, m_now, node.budget);
            if (step.step == request_step::RetryOnNewConnection) {
                closeIdleConnections(request->node, target);
                request->triedTargets.pop_back();
            }
            if (step.step == request_step::RetryOnOtherTarget || step.step == request_step::RetryOnNewConnection)
                dispatch(request);
            else
                conclude(request, step);
            serveQueue(request->node);
        }

        auto endNaive(const request_ptr& request, attempt_result result) -> void
        {
            auto answered = result == attempt_result::Success;
            if (answered || result == attempt_result::MismatchedAnswer || result == attempt_result::CutAnswer) {
                // The naive policy checks only the status.
                if (!answered)
                    ++m_result.wrongOrCutAnswers;
                conclude(request, { request_step::Answer });
            } else if (request->attempts < maxNaiveAttempts && m_now < request->deadline)
                dispatch(request);
            else
                conclude(request, { request_step::Refuse, result_code::TargetConnectFailed });
        }

        auto conclude(const request_ptr& request, next_step step) -> void
        {
            if (request->done)
                return;
            request->done = true;
            if (step.step != request_step::Refuse) {
                ++m_result.answered;
                ++m_result.answeredPerSecond[second()];
                return;
            }
            auto notRun = describe(step.code).outcome == request_outcome::NotRun;
            ++(notRun ? m_result.refusedNotRun : m_result.refusedUnknown);
            if (notRun && request->runs > 0)
                ++m_result.falseNotRun;
            if (m_plan.callersRetry && (notRun || request->idempotent) && request->callerAttempt < maxCallerAttempts) {
                auto next = request->callerAttempt + 1;
                after(milliseconds(200), [this, idempotent = request->idempotent, next] { arrive(idempotent, next); });
            }
        }

        const schedule& m_plan;
        schedule_router& m_router;
        bool m_naive;
        random_generator m_random;
        time_point m_now { 0 };
        uint64_t m_order { 0 };
        std::priority_queue<timed_action> m_actions;
        std::vector<modelled_node> m_nodes;
        std::vector<target_model> m_targets;
        std::vector<uint32_t> m_deadConnections;
        std::vector<std::vector<fault_kind>> m_activeFaults;
        std::vector<time_point> m_lastFalseEjection;
        std::vector<bool> m_detected;
        schedule_result m_result;
    };

} // namespace

auto runSchedule(const schedule& plan, schedule_router& router, request_policy policy) -> schedule_result
{
    return schedule_runner(plan, router, policy).run();
}

} // namespace gypsumhub
