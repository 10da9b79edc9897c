#pragma once

#include "gypsumhub/decision/selection/load_balancer.h"
#include "unit_tests/decision/selection/work_samples.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <deque>
#include <memory>
#include <queue>
#include <string>
#include <vector>

namespace gypsumhub {

/// Several nodes that place the requests of two routes of one service at targets with two slots and a queue. The work of the routes differs by
/// a factor of three, and one target is slow. Time is simulated.
class few_slots_fleet {
public:
    struct settings {
        /// Whether the choice uses the learned cost of requests.
        bool usesCost { true };
        /// The estimates are wrong by this factor.
        double estimateFactor { 1 };
        /// Share of the capacity that is demanded.
        double load { 0.7 };
        size_t nodes { 6 };
        size_t targets { 20 };
        double slowFactor { 3 };
        /// Mean times for which a target works, and for which it then fails nine requests in ten. Zero for targets that do not fail.
        duration meanGoodTime {};
        duration meanBadTime { seconds(5) };
        uint64_t seed { 1 };
    };

    struct results {
        size_t requests { 0 };
        size_t inTime { 0 };
        size_t late { 0 };
        size_t declines { 0 };
        /// Time in the queues of the targets.
        duration waits {};
        size_t sent { 0 };
        /// The fewest targets that received requests in any 2 s.
        size_t fewestServing { SIZE_MAX };

        auto share() const -> double { return static_cast<double>(inTime) / static_cast<double>(requests); }
        /// With late answers at a third of their value.
        auto goodput() const -> double { return (static_cast<double>(inTime) + static_cast<double>(late) / 3) / static_cast<double>(requests); }
        auto meanWait() const -> duration { return waits / static_cast<int64_t>(std::max<size_t>(sent, 1)); }
    };

    explicit few_slots_fleet(settings given)
        : m_settings(given)
        , m_random(given.seed)
        , m_targets(given.targets)
    {
        auto regionOf = [](std::string_view) { return std::string("r"); };
        auto weights = selection_settings {};
        weights.fewSlots = slots;
        for (auto index = size_t { 0 }; index < given.nodes; ++index) {
            m_nodes.push_back({ std::make_unique<load_balancer>("dc", regionOf, weights, m_random()) });
            for (auto target = size_t { 0 }; target < given.targets; ++target) {
                auto made = target_registration {};
                made.id = "t" + std::to_string(target);
                made.service = service;
                made.address = { "127.0.0.1", 1 };
                made.dataCentre = "dc";
                made.slots = slots;
                m_nodes.back().balancer->put(made, m_now);
            }
        }
        for (auto& one : m_targets)
            one.changesAt = given.meanGoodTime == duration {} ? never : m_now + exponential(given.meanGoodTime);
    }

    /// Serves for `length` and returns what happened after the first third, in which the nodes learn.
    auto run(duration length) -> results
    {
        auto rate = m_settings.load * static_cast<double>(m_settings.targets * slots) / meanWork.seconds();
        auto end = m_now + length;
        m_measureFrom = m_now + length / 3;
        auto next = m_now;
        while (m_now < end) {
            if (!m_events.empty() && m_events.top().at <= next) {
                auto event = m_events.top();
                m_events.pop();
                m_now = event.at;
                complete(event);
                continue;
            }
            m_now = next;
            arrive();
            next = next + exponential(duration { static_cast<int64_t>(1e9 / rate) });
        }
        return m_results;
    }

private:
    static constexpr auto service = "files";
    static constexpr auto slots = 2U;
    static constexpr auto queueLength = size_t { 8 };
    static constexpr auto spread = 0.7;
    static constexpr auto failureRate = 0.9;
    static constexpr auto meanWork = milliseconds(240);
    static constexpr auto acceptAnyShare = 10;

    struct kind {
        std::string_view route;
        duration work;
        duration target;
        duration deadline;
    };
    static constexpr auto kinds = std::to_array<kind>({ { "lookup", milliseconds(120), milliseconds(500), milliseconds(1500) }, { "archive", milliseconds(360), milliseconds(1500), seconds(4) } });

    struct request {
        size_t node;
        const kind* type;
        time_point arrivedAt;
        std::vector<std::string> tried {};
        cost_estimate expected {};
        uint64_t number { 0 };
        time_point sentAt {};
    };

    struct completion {
        time_point at;
        size_t target;
        request ended;
        bool failed { false };
        auto operator<(const completion& other) const -> bool { return at > other.at; }
    };

    struct node {
        std::unique_ptr<load_balancer> balancer;
        std::deque<request> waiting {};
    };

    struct target {
        bool isBad { false };
        time_point changesAt { never };
        time_point lastSentAt {};
        uint32_t running { 0 };
        std::deque<request> waiting {};
    };

    auto exponential(duration mean) -> duration { return { static_cast<int64_t>(-std::log(1 - m_random.unit()) * static_cast<double>(mean.ns)) }; }

    auto isBad(target& one) -> bool
    {
        while (one.changesAt <= m_now) {
            one.isBad = !one.isBad;
            one.changesAt = one.changesAt + exponential(one.isBad ? m_settings.meanBadTime : m_settings.meanGoodTime);
        }
        return one.isBad;
    }

    auto arrive() -> void
    {
        auto made = request { m_random.below(m_settings.nodes), &kinds[m_random.below(kinds.size())], m_now };
        m_results.requests += m_now >= m_measureFrom ? 1 : 0;
        auto& owner = m_nodes[made.node];
        owner.waiting.push_back(std::move(made));
        dispatch(owner);
        auto serving = static_cast<size_t>(std::ranges::count_if(m_targets, [&](auto& one) { return one.lastSentAt > m_now - seconds(2); }));
        if (m_now >= m_measureFrom)
            m_results.fewestServing = std::min(m_results.fewestServing, serving);
    }

    auto estimate(const node& owner, const request& waiting) const -> cost_estimate
    {
        auto learned = owner.balancer->costs().estimate({ service, waiting.type->route });
        return cost_estimate::fromLogarithm(learned.logarithm() + std::log(m_settings.estimateFactor), learned.spread, learned.level);
    }

    auto dispatch(node& owner) -> void
    {
        while (!owner.waiting.empty()) {
            auto& first = owner.waiting.front();
            if (m_now > first.arrivedAt + first.type->deadline) {
                owner.waiting.pop_front();
                continue;
            }
            first.expected = estimate(owner, first);
            auto cost = request_cost { first.expected, first.arrivedAt + first.type->target };
            auto chosen = owner.balancer->choose({ service, false, first.tried, m_settings.usesCost ? &cost : nullptr }, m_now);
            auto mayWait = m_now < first.arrivedAt + first.type->target / acceptAnyShare;
            if (!chosen.target || (chosen.shouldWait && mayWait))
                return;
            auto sent = std::move(first);
            owner.waiting.pop_front();
            send(owner, std::move(sent), *chosen.target);
        }
    }

    auto send(node& owner, request sent, target_state& state) -> void
    {
        owner.balancer->recordSent(state, m_now);
        sent.number = state.work.add(sent.expected, m_now);
        sent.sentAt = m_now;
        auto index = static_cast<size_t>(std::stoul(state.registration.id.substr(1)));
        if (m_now >= m_measureFrom) {
            ++m_results.sent;
        }
        auto& used = m_targets[index];
        used.lastSentAt = m_now;
        if (used.running < slots) {
            start(index, std::move(sent));
        } else if (used.waiting.size() < queueLength) {
            used.waiting.push_back(std::move(sent));
        } else {
            ++m_results.declines;
            owner.balancer->recordCompleted(state);
            state.work.remove(sent.number);
            owner.balancer->recordFull(state, m_now);
            sent.tried.push_back(state.registration.id);
            owner.waiting.push_front(std::move(sent));
        }
    }

    auto start(size_t index, request started) -> void
    {
        ++m_targets[index].running;
        if (started.sentAt >= m_measureFrom)
            m_results.waits = m_results.waits + (m_now - started.sentAt);
        auto work = logNormal(m_random, started.type->work, spread).seconds() * (index == 0 ? m_settings.slowFactor : 1.0);
        auto failed = isBad(m_targets[index]) && m_random.unit() < failureRate;
        m_events.push({ m_now + (failed ? milliseconds(5) : duration { static_cast<int64_t>(work * 1e9) }), index, std::move(started), failed });
    }

    auto complete(const completion& event) -> void
    {
        auto& done = event.ended;
        auto& used = m_targets[event.target];
        --used.running;
        if (!used.waiting.empty()) {
            auto next = std::move(used.waiting.front());
            used.waiting.pop_front();
            start(event.target, std::move(next));
        }
        auto took = m_now - done.arrivedAt;
        if (!event.failed && done.arrivedAt >= m_measureFrom && took <= done.type->deadline)
            ++(took <= done.type->target ? m_results.inTime : m_results.late);
        auto& owner = m_nodes[done.node];
        auto state = owner.balancer->find("t" + std::to_string(event.target));
        owner.balancer->recordCompleted(*state);
        state->work.remove(done.number);
        observe(owner, *state, event);
        if (event.failed) {
            dispatch(owner);
            return;
        }
        if (m_settings.usesCost)
            owner.balancer->recordResponseTime(*state, { service, done.type->route }, done.expected, m_now - done.sentAt, m_now);
        else
            owner.balancer->recordResponseTime(*state, m_now - done.sentAt);
        dispatch(owner);
    }

    /// Lets the other nodes know of informative outcomes, as gateway nodes do.
    auto observe(node& owner, target_state& state, const completion& event) -> void
    {
        auto kind = event.failed ? outcome_kind::Failure : outcome_kind::Success;
        auto change = owner.balancer->observe(state, kind, event.ended.sentAt, m_now);
        if (!isInformative(kind, change))
            return;
        for (auto& other : m_nodes) {
            if (&other != &owner)
                other.balancer->observe(*other.balancer->find(state.registration.id), kind, event.ended.sentAt, m_now);
        }
    }

    settings m_settings;
    random_generator m_random;
    std::vector<node> m_nodes;
    std::vector<target> m_targets;
    std::priority_queue<completion> m_events;
    time_point m_now { time_point {} + seconds(100) };
    time_point m_measureFrom {};
    results m_results {};
};

} // namespace gypsumhub
