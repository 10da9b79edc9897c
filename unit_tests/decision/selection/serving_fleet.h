#pragma once

#include "gypsumhub/decision/selection/load_balancer.h"

#include <algorithm>
#include <cmath>
#include <memory>
#include <queue>
#include <string>
#include <vector>

namespace gypsumhub {

/// Several nodes that place the requests of one service at targets, some of which fail most requests for a while, and report
/// outcomes to each other as gateway nodes do. Time is simulated.
class serving_fleet {
public:
    struct settings {
        size_t dataCentres { 3 };
        size_t nodesPerDataCentre { 2 };
        size_t targetsPerDataCentre { 24 };
        double requestsPerTargetAndSecond { 4.5 };
        /// Share of the requests to a good and to a bad target that fail.
        double goodFailures { 0.012 };
        double badFailures { 0.85 };
        duration meanGoodTime { seconds(40) };
        duration meanBadTime { seconds(4) };
        duration meanWork { milliseconds(230) };
        bool isRetryable { false };
        uint64_t seed { 1 };
    };

    /// What happened to one target.
    struct target {
        std::string id;
        bool isBad { false };
        time_point changesAt {};
        /// The end of the latest bad time.
        time_point goodSince {};
        std::vector<time_point> requests {};
        std::vector<time_point> failures {};
    };

    explicit serving_fleet(settings given)
        : m_settings(given)
        , m_random(given.seed)
    {
        auto regionOf = [](std::string_view) { return std::string("r"); };
        for (auto index = size_t { 0 }; index < given.dataCentres * given.nodesPerDataCentre; ++index)
            m_nodes.push_back(std::make_unique<load_balancer>("dc" + std::to_string(index % given.dataCentres), regionOf, selection_settings {}, m_random()));
        for (auto index = size_t { 0 }; index < given.dataCentres * given.targetsPerDataCentre; ++index) {
            auto made = target_registration {};
            made.id = "t" + std::to_string(index);
            made.service = service;
            made.address = { "127.0.0.1", 1 };
            made.dataCentre = "dc" + std::to_string(index % given.dataCentres);
            made.slots = 3;
            made.incarnation = 1;
            for (auto& node : m_nodes)
                node->put(made, m_now);
            m_targets.push_back({ made.id, false, m_now + exponential(given.meanGoodTime) });
        }
    }

    /// Lets the nodes serve until `end`.
    auto run(time_point end) -> void
    {
        auto rate = m_settings.requestsPerTargetAndSecond * static_cast<double>(m_targets.size());
        while (m_now < end) {
            m_now = m_now + exponential(duration { static_cast<int64_t>(1e9 / rate) });
            while (!m_events.empty() && m_events.top().at <= m_now) {
                auto next = m_events.top();
                m_events.pop();
                complete(next);
            }
            changeStates();
            send();
        }
    }

    /// Makes all nodes believe that every target fails, although none does.
    auto distrustAll() -> void
    {
        for (auto& node : m_nodes) {
            for (auto& [id, state] : node->targets()) {
                for (auto count = 0; count < 5; ++count)
                    node->observe(*state, outcome_kind::Failure, m_now, m_now);
            }
        }
    }

    /// The share of the sound targets that received a request in the span of `length` before `end`: those that were good all the
    /// while and for `length` before it. One when there is none.
    auto servingShare(time_point end, duration length) const -> double
    {
        auto sound = 0, serving = 0;
        for (auto& one : m_targets) {
            if (one.isBad || one.goodSince > end - length * 2)
                continue;
            ++sound;
            serving += std::ranges::any_of(one.requests, [&](time_point sentAt) { return sentAt > end - length && sentAt <= end; }) ? 1 : 0;
        }
        return sound == 0 ? 1 : static_cast<double>(serving) / sound;
    }

    auto now() const -> time_point { return m_now; }
    auto targets() const -> const std::vector<target>& { return m_targets; }
    auto sent() const -> size_t { return m_sent; }
    auto failed() const -> size_t { return m_failed; }
    auto notPlaced() const -> size_t { return m_notPlaced; }

    static constexpr auto service = "bookdesk";

private:
    struct completion {
        time_point at;
        size_t node;
        size_t target;
        time_point sentAt;
        bool failed;

        auto operator<(const completion& other) const -> bool { return at > other.at; }
    };

    auto exponential(duration mean) -> duration
    {
        return { static_cast<int64_t>(-std::log(1 - m_random.unit()) * static_cast<double>(mean.ns)) };
    }

    auto changeStates() -> void
    {
        for (auto& one : m_targets) {
            while (one.changesAt <= m_now) {
                one.isBad = !one.isBad;
                if (!one.isBad)
                    one.goodSince = one.changesAt;
                one.changesAt = one.changesAt + exponential(one.isBad ? m_settings.meanBadTime : m_settings.meanGoodTime);
            }
        }
    }

    auto send() -> void
    {
        auto node = static_cast<size_t>(m_random.unit() * static_cast<double>(m_nodes.size()));
        auto chosen = m_nodes[node]->choose({ service, m_settings.isRetryable }, m_now);
        if (!chosen.target) {
            ++m_notPlaced;
            return;
        }
        m_nodes[node]->recordSent(*chosen.target, m_now);
        ++m_sent;
        auto index = static_cast<size_t>(std::stoul(chosen.target->registration.id.substr(1)));
        auto& used = m_targets[index];
        used.requests.push_back(m_now);
        auto failed = m_random.unit() < (used.isBad ? m_settings.badFailures : m_settings.goodFailures);
        auto work = failed ? milliseconds(5) : exponential(m_settings.meanWork);
        m_events.push({ m_now + work, node, index, m_now, failed });
    }

    auto complete(const completion& ended) -> void
    {
        auto& id = m_targets[ended.target].id;
        auto kind = ended.failed ? outcome_kind::Failure : outcome_kind::Success;
        auto own = m_nodes[ended.node]->find(id);
        m_nodes[ended.node]->recordCompleted(*own);
        auto change = m_nodes[ended.node]->observe(*own, kind, ended.sentAt, ended.at);
        if (ended.failed) {
            ++m_failed;
            m_targets[ended.target].failures.push_back(ended.at);
        } else
            m_nodes[ended.node]->recordResponseTime(*own, ended.at - ended.sentAt);
        if (!isInformative(kind, change))
            return;
        for (auto& other : m_nodes) {
            if (other != m_nodes[ended.node])
                other->observe(*other->find(id), kind, ended.sentAt, ended.at);
        }
    }

    settings m_settings;
    random_generator m_random;
    std::vector<std::unique_ptr<load_balancer>> m_nodes;
    std::vector<target> m_targets;
    std::priority_queue<completion> m_events;
    time_point m_now { time_point {} + seconds(100) };
    size_t m_sent { 0 };
    size_t m_failed { 0 };
    size_t m_notPlaced { 0 };
};

} // namespace gypsumhub
