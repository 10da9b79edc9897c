#include "gypsumhub/operator/replay/replay_run.h"

#include "gypsumhub/core/random_generator.h"
#include "gypsumhub/decision/decision_core.h"
#include "gypsumhub/decision/request/target_chooser.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <memory>
#include <numbers>
#include <optional>
#include <queue>
#include <utility>

namespace gypsumhub {

namespace {

    // Latency of evidence between two driven nodes.
    constexpr auto peerLatency = milliseconds(2);
    // Latency of a successful probe of a target.
    constexpr auto probeLatency = milliseconds(25);
    // Latency of an exchange that fails at once.
    constexpr auto failureLatency = milliseconds(2);

    /// A function that runs at an instant of virtual time. `order` keeps steps of the same instant in the order of scheduling.
    struct timed_step {
        time_point at;
        uint64_t order { 0 };
        std::function<void()> run;

        auto operator<(const timed_step& other) const -> bool { return std::pair(other.at, other.order) < std::pair(at, order); }
    };

    /// A fault of the trace while it is active.
    struct active_fault {
        const replay_fault* fault { nullptr };
        // True for a node and a target once the node has closed its pooled connections to the target. A fault of pooled connections
        // then no longer affects their exchanges.
        std::map<std::pair<node_key, vm_key>, bool> closed;
    };

    // Whether a list contains a key. An empty list stands for all keys.
    auto covers(const auto& keys, auto key) -> bool
    {
        return keys.empty() || std::ranges::find(keys, key) != keys.end();
    }

    auto isUnanswered(attempt_result result) -> bool
    {
        return result == attempt_result::Silent || result == attempt_result::HungAfterHeader;
    }

    class trace_replayer;

    /// One driven node: passes events to its decision core and executes the commands of the core.
    class driven_node final : public command_listener {
    public:
        driven_node(trace_replayer& replayer, const node_spec& spec, const decision_settings& settings)
            : m_replayer(replayer)
            , m_key(spec.key)
            , m_core(settings)
        {
        }

        auto handle(const decision_event&) -> void;
        auto onCommand(decision_command) -> void override;
        auto key() const -> node_key { return m_key; }
        auto view(service_key service) const -> const service_view* { return m_snapshot ? m_snapshot->findService(service) : nullptr; }

    private:
        auto on(const publish_snapshot_command&) -> void;
        auto on(const start_probe_command&) -> void;
        auto on(const send_evidence_command&) -> void;
        auto on(const close_idle_connections_command&) -> void;
        auto on(const state_change_command&) -> void;

        trace_replayer& m_replayer;
        node_key m_key;
        decision_core m_core;
        std::shared_ptr<const routing_snapshot> m_snapshot;
    };

    /// Virtual clock, event queue and simulated targets of a replay.
    class trace_replayer {
    public:
        explicit trace_replayer(const replay_trace& trace)
            : m_trace(trace)
            , m_random(trace.seed)
        {
            auto drivenKeys = std::vector<node_key> {};
            for (auto& spec : trace.driven) {
                auto settings = decision_settings { spec.key, spec.dataCentre, m_random(), trace.membersPerDataCentre };
                m_nodes.push_back(std::make_unique<driven_node>(*this, spec, settings));
            }
        }

        auto run() -> replay_log
        {
            start();
            for (auto& event : m_trace.events)
                schedule(event.at, [this, &event] { std::visit([&](auto& content) { apply(content); }, event.content); });
            tick();
            while (!m_steps.empty() && m_steps.top().at <= m_trace.until) {
                auto step = m_steps.top();
                m_steps.pop();
                m_now = step.at;
                step.run();
            }
            return std::move(m_log);
        }

        auto now() const -> time_point { return m_now; }
        auto log() -> replay_log& { return m_log; }

        auto schedule(time_point at, std::function<void()> run) -> void { m_steps.push({ at, m_order++, std::move(run) }); }

        auto probe(driven_node& node, const start_probe_command& command) -> void
        {
            ++m_log.probes;
            auto report = attempt_report { command.service, command.target, attempt_result::Success, m_now, m_now + probeLatency, false, true };
            for (auto& active : m_faults) {
                if (active.fault->probesFail && covers(active.fault->targets, command.target) && covers(active.fault->nodes, node.key()))
                    report.result = active.fault->result;
            }
            if (isUnanswered(report.result))
                report.endedAt = command.deadline;
            deliver(node, report);
        }

        auto sendEvidence(node_key sender, const send_evidence_command& command) -> void
        {
            m_log.evidenceItems += command.items.size() * command.receivers.size();
            for (auto receiver : command.receivers) {
                if (auto* node = find(receiver))
                    schedule(m_now + peerLatency, [node, sender, items = command.items] { node->handle(evidence_event { sender, items }); });
            }
        }

        auto closeConnections(node_key node, vm_key target) -> void
        {
            for (auto& active : m_faults)
                active.closed[{ node, target }] = true;
        }

    private:
        auto start() -> void
        {
            auto membership = membership_event {};
            for (auto& [name, node] : m_trace.config->nodes)
                membership.alive.push_back(node.key);
            std::ranges::sort(membership.alive);
            auto list = vm_list_event {};
            for (auto& [name, service] : m_trace.config->services) {
                for (auto& target : service->targets)
                    list.live.push_back(target.key);
            }
            for (auto& node : m_nodes) {
                node->handle(membership);
                node->handle(configuration_event { m_trace.config });
                node->handle(list);
            }
        }

        auto find(node_key key) -> driven_node*
        {
            auto found = std::ranges::find(m_nodes, key, [](auto& node) { return node->key(); });
            return found == m_nodes.end() ? nullptr : found->get();
        }

        auto tick() -> void
        {
            for (auto& node : m_nodes)
                node->handle(tick_event {});
            schedule(m_now + tickInterval, [this] { tick(); });
        }

        auto apply(const replay_decision_event& event) -> void
        {
            for (auto& node : m_nodes) {
                if (event.allNodes || node->key() == event.node)
                    node->handle(event.event);
            }
        }

        auto apply(const replay_load& load) -> void { scheduleNextArrival(load); }

        auto apply(const replay_fault& fault) -> void
        {
            m_faults.push_back({ &fault, {} });
            if (fault.until != never)
                schedule(fault.until, [this, &fault] { std::erase_if(m_faults, [&](auto& active) { return active.fault == &fault; }); });
        }

        auto scheduleNextArrival(const replay_load& load) -> void
        {
            auto gap = duration { std::llround(-std::log(1 - m_random.unit()) / load.requestsPerSecond * 1e9) };
            if (m_now + gap >= load.until)
                return;
            schedule(m_now + gap, [this, &load] {
                sendRequest(load);
                scheduleNextArrival(load);
            });
        }

        auto sendRequest(const replay_load& load) -> void
        {
            auto& node = *m_nodes[m_random.below(m_nodes.size())];
            auto* view = node.view(load.service);
            auto chosen = view ? chooseTarget(*view, { {}, m_random.below(2) == 0, m_random() }) : std::nullopt;
            if (!chosen) {
                ++m_log.refused;
                return;
            }
            m_log.requests.push_back({ m_now, load.service, chosen->key });
            auto report = simulateExchange(load, node.key(), chosen->key);
            auto overdueAt = m_now + view->overdueAfter;
            if (overdueAt < report.endedAt) {
                auto overdue = report;
                overdue.result = attempt_result::Overdue;
                overdue.endedAt = overdueAt;
                deliver(node, overdue);
            }
            auto lease = std::make_shared<slot_lease>(std::move(chosen->lease));
            schedule(report.endedAt, [&node, report, lease] {
                lease->release();
                node.handle(attempt_event { report });
            });
        }

        // Returns the report of an exchange that starts now, given the active faults.
        auto simulateExchange(const replay_load& load, node_key node, vm_key target) -> attempt_report
        {
            auto report = attempt_report { load.service, target, attempt_result::Success, m_now, m_now, m_random.below(8) != 0, false };
            auto latencyMs = load.medianMs * std::exp(load.sigma * normal());
            if (m_random.unit() < load.errorShare) {
                report.result = attempt_result::ErrorAnswer;
                latencyMs = 2;
            }
            for (auto& active : m_faults) {
                auto& fault = *active.fault;
                if (!covers(fault.targets, target) || !covers(fault.nodes, node) || m_random.unit() >= fault.share)
                    continue;
                if (fault.keptConnections && (!report.reusedConnection || active.closed[{ node, target }]))
                    continue;
                latencyMs *= fault.slowdown;
                if (fault.result != attempt_result::Success)
                    report.result = fault.result;
            }
            auto latency = duration { std::llround(latencyMs * 1e6) };
            if (report.result == attempt_result::ErrorAnswer || report.result == attempt_result::ConnectFailed || report.result == attempt_result::Shed)
                latency = failureLatency;
            if (isUnanswered(report.result) || latency > load.deadline) {
                latency = load.deadline;
                report.result = isUnanswered(report.result) ? report.result : attempt_result::Silent;
            }
            report.endedAt = m_now + latency;
            return report;
        }

        auto deliver(driven_node& node, const attempt_report& report) -> void
        {
            schedule(report.endedAt, [&node, report] { node.handle(attempt_event { report }); });
        }

        // Returns a standard normal variate (Box-Muller transform).
        auto normal() -> double
        {
            auto radius = std::sqrt(-2 * std::log(1 - m_random.unit()));
            return radius * std::cos(2 * std::numbers::pi * m_random.unit());
        }

        const replay_trace& m_trace;
        random_generator m_random;
        time_point m_now { 0 };
        uint64_t m_order { 0 };
        std::priority_queue<timed_step> m_steps;
        std::vector<std::unique_ptr<driven_node>> m_nodes;
        std::vector<active_fault> m_faults;
        replay_log m_log;
    };

    auto driven_node::handle(const decision_event& event) -> void
    {
        m_core.handle(event, m_replayer.now(), *this);
    }

    auto driven_node::onCommand(decision_command command) -> void
    {
        std::visit([this](auto& typed) { on(typed); }, command);
    }

    auto driven_node::on(const publish_snapshot_command& command) -> void
    {
        m_snapshot = command.snapshot;
        for (auto& service : m_snapshot->services)
            m_replayer.log().rotations.push_back({ m_replayer.now(), m_key, service.spec->key, service.targets.size() });
    }

    auto driven_node::on(const start_probe_command& command) -> void
    {
        m_replayer.probe(*this, command);
    }

    auto driven_node::on(const send_evidence_command& command) -> void
    {
        m_replayer.sendEvidence(m_key, command);
    }

    auto driven_node::on(const close_idle_connections_command& command) -> void
    {
        m_replayer.closeConnections(m_key, command.target);
    }

    auto driven_node::on(const state_change_command& command) -> void
    {
        m_replayer.log().changes.push_back({ m_replayer.now(), m_key, command.service, command.target, command.to, command.reason });
    }

} // namespace

auto replayTrace(const replay_trace& trace) -> replay_log
{
    return trace_replayer(trace).run();
}

} // namespace gypsumhub
