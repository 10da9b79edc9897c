#pragma once

#include "gypsumhub/core/random_generator.h"
#include "gypsumhub/decision/selection/late_admission.h"
#include "gypsumhub/decision/selection/service_model.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <numbers>
#include <queue>
#include <vector>

namespace gypsumhub {

/// What became of the requests of a simulated load.
struct simulated_outcome {
    double arrived { 0 };
    double inTime { 0 };
    double served { 0 };
    double refusedAtOnce { 0 };
    double refusedLater { 0 };
    double secondsWaitedInVain { 0 };

    auto operator+=(const simulated_outcome& other) -> simulated_outcome&
    {
        arrived += other.arrived;
        inTime += other.inTime;
        served += other.served;
        refusedAtOnce += other.refusedAtOnce;
        refusedLater += other.refusedLater;
        secondsWaitedInVain += other.secondsWaitedInVain;
        return *this;
    }
    auto shareInTime() const -> double { return inTime / arrived; }
    auto shareServed() const -> double { return served / arrived; }
};

/// A kind of request in a simulated load. Work is log-normally distributed.
struct simulated_kind {
    uint32_t priority { 0 };
    double share { 1 };
    duration latencyTarget { seconds(1) };
    duration deadline { seconds(5) };
};

/// A service with two slots a target, one node in front of it, and the real placement queue, in virtual time.
class few_slots_service {
public:
    struct load {
        size_t targets { 10 };
        duration meanWork { milliseconds(200) };
        /// Standard deviation of the logarithm of the work: its 99th percentile is 5 times its mean.
        double spread { 0.9 };
        /// Arrivals as a share of the capacity of all targets, by seconds.
        std::function<double(double)> demand;
        /// Working targets, by seconds; all if not set.
        std::function<size_t(double)> working {};
        std::vector<simulated_kind> kinds { {} };
        double length { 60 };
    };

    few_slots_service(load given, bool servesLate, uint64_t seed)
        : m_load(std::move(given))
        , m_servesLate(servesLate)
        , m_random(seed)
    {
    }

    auto run() -> std::map<uint32_t, simulated_outcome>
    {
        auto capacity = static_cast<double>(2 * m_load.targets) / m_load.meanWork.seconds();
        auto nextArrival = 0.0;
        auto nextTick = 0.0;
        for (;;) {
            auto completion = m_completions.empty() ? 1e9 : m_completions.top().second;
            auto next = std::min({ completion, nextArrival, nextTick });
            if (next > m_load.length + 20)
                break;
            m_now = time_point { static_cast<int64_t>(next * 1e9) + 1 };
            if (next == completion)
                complete();
            else if (next == nextArrival) {
                arrive();
                nextArrival += -std::log(1 - m_random.unit()) / (capacity * m_load.demand(next));
                if (nextArrival > m_load.length)
                    nextArrival = 1e9;
            } else
                nextTick += 0.02;
            dispatch();
        }
        return m_outcomes;
    }

private:
    struct request {
        const simulated_kind* kind;
        time_point arrivedAt;
        duration work;
    };

    auto capacityNow() const -> service_capacity { return { static_cast<uint32_t>(m_completions.size()), static_cast<uint32_t>(slots() / 2), m_model.meanResponseTime() }; }
    auto slots() const -> size_t { return 2 * (m_load.working ? m_load.working(m_now.ns * 1e-9) : m_load.targets); }
    auto outcomeOf(uint64_t ticket) -> simulated_outcome& { return m_outcomes[m_requests.at(ticket).kind->priority]; }

    auto work() -> duration
    {
        auto normal = std::sqrt(-2 * std::log(1 - m_random.unit())) * std::cos(2 * std::numbers::pi * m_random.unit());
        auto factor = std::exp(m_load.spread * normal - m_load.spread * m_load.spread / 2);
        return { static_cast<int64_t>(static_cast<double>(m_load.meanWork.ns) * factor) };
    }

    auto arrive() -> void
    {
        auto drawn = m_random.unit();
        auto kind = m_load.kinds.begin();
        for (; drawn >= kind->share && kind + 1 != m_load.kinds.end(); ++kind)
            drawn -= kind->share;
        auto ticket = ++m_lastTicket;
        m_requests.emplace(ticket, request { &*kind, m_now, work() });
        ++outcomeOf(ticket).arrived;
        m_admission.recordArrival(kind->priority, m_now);
        if (m_queue.isEmpty() && m_completions.size() < slots()) {
            place(ticket);
            return;
        }
        auto expected = duration { static_cast<int64_t>(static_cast<double>(m_model.meanResponseTime().ns) * 1.3) };
        auto onTime = m_now + kind->latencyTarget - expected;
        auto latest = m_now + kind->deadline - milliseconds(20);
        auto waiting = waiting_request { ticket, kind->priority, m_now, std::min(onTime, latest) };
        if (m_servesLate) {
            waiting.onTimeUntil = waiting.expiresAt;
            waiting.expiresAt = std::max(onTime, latest - expected);
        }
        auto estimate = m_servesLate ? m_admission.evaluate(waiting, capacityNow(), m_now) : m_queue.evaluate(waiting, capacityNow());
        if (!estimate.isAdmitted) {
            ++outcomeOf(ticket).refusedAtOnce;
            return;
        }
        waiting.isLate = estimate.isLate;
        m_queue.add(waiting);
        m_admission.updateWaiting(m_now);
    }

    auto place(uint64_t ticket) -> void
    {
        auto& placed = m_requests.at(ticket);
        m_admission.recordPlaced(placed.kind->priority, m_now);
        m_completions.emplace(ticket, (m_now + placed.work).ns * 1e-9);
    }

    auto complete() -> void
    {
        auto ticket = m_completions.top().first;
        m_completions.pop();
        auto& done = m_requests.at(ticket);
        m_model.recordResponseTime(done.work);
        auto took = m_now - done.arrivedAt;
        outcomeOf(ticket).served += took <= done.kind->deadline ? 1 : 0;
        outcomeOf(ticket).inTime += took <= done.kind->latencyTarget ? 1 : 0;
    }

    auto refuse(const std::vector<waiting_request>& refused) -> void
    {
        for (auto& waiting : refused) {
            ++outcomeOf(waiting.ticket).refusedLater;
            outcomeOf(waiting.ticket).secondsWaitedInVain += (m_now - waiting.arrivedAt).seconds();
        }
    }

    auto dispatch() -> void
    {
        refuse(m_queue.removeExpired(m_now));
        while (!m_queue.isEmpty() && m_completions.size() < slots()) {
            auto ticket = (m_servesLate ? m_admission.next(m_now) : m_queue.first())->ticket;
            m_queue.remove(ticket);
            place(ticket);
        }
        if (m_servesLate)
            refuse(m_admission.removeHopeless(capacityNow(), m_now));
        m_admission.updateWaiting(m_now);
    }

    struct later {
        auto operator()(const std::pair<uint64_t, double>& a, const std::pair<uint64_t, double>& b) const -> bool { return a.second > b.second; }
    };

    load m_load;
    bool m_servesLate;
    random_generator m_random;
    time_point m_now {};
    uint64_t m_lastTicket { 0 };
    placement_queue m_queue;
    late_admission m_admission { m_queue };
    service_model m_model;
    std::map<uint64_t, request> m_requests;
    std::priority_queue<std::pair<uint64_t, double>, std::vector<std::pair<uint64_t, double>>, later> m_completions;
    std::map<uint32_t, simulated_outcome> m_outcomes;
};

} // namespace gypsumhub
