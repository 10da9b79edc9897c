#pragma once

#include "fakes/fake_gateway_target.h"
#include "fakes/fake_keyspace_server.h"
#include "soak/fault_link.h"
#include "soak/node_process.h"
#include "soak/soak_caller.h"
#include "soak/soak_plan.h"
#include "soak/soak_promises.h"

#include <boost/asio/executor_work_guard.hpp>
#include <memory>
#include <thread>
#include <vector>

namespace gypsumhub {

/// One soak run. The store, the targets and the callers run in this process and each node in a process of its own. Fault links
/// connect the nodes to the store and the targets. A plan of events injects faults.
class soak_run {
public:
    /// Stores settings and logs of the nodes in `folder`, which must exist.
    soak_run(const soak_settings&, uint64_t seed, std::string program, std::string folder);
    ~soak_run();

    /// Executes the plan and fills the record. Returns false when a node cannot be started.
    auto execute() -> bool;
    auto record() const -> const soak_record& { return m_record; }
    auto plan() const -> std::span<const soak_event> { return m_plan; }

private:
    /// A node process, its link to the store and its state.
    struct node {
        std::unique_ptr<node_process> process;
        std::unique_ptr<fault_link> storeLink;
        /// Earliest time of a restart when the process does not run.
        time_point startAt {};
        /// Time at which the last exit was detected.
        time_point exitedAt {};
        /// Deadline of a shutdown under way; `never` without one.
        time_point stopDeadline { never };
        /// True after a kill, a shutdown request or a failed start.
        bool isExitExpected { false };
    };
    /// A fake target and the link through which nodes reach it.
    struct target {
        std::unique_ptr<fake_gateway_target> server;
        std::unique_ptr<fault_link> link;
    };
    /// A function that is due at an instant.
    struct action {
        time_point at;
        std::function<void()> run;
    };

    auto makeTargets() -> void;
    auto makeNodes(const std::string& program, const std::string& folder) -> void;
    auto writeSettings(uint32_t index) -> void;
    auto registerTarget(uint32_t index, std::string_view state) -> void;
    auto configure() -> void;
    auto scheduleEvents(time_point start) -> void;
    auto scheduleNodeEvent(const soak_event&, time_point from, time_point until) -> void;
    auto scheduleTargetEvent(const soak_event&, time_point from, time_point until) -> void;
    auto scheduleStoreEvent(const soak_event&, time_point from, time_point until) -> void;
    auto schedule(time_point, std::function<void()>) -> void;
    /// Runs due actions and supervises the processes until the given time.
    auto advance(time_point until) -> void;
    /// Records an exit or a missed shutdown deadline, and restarts the process when due.
    auto superviseNode(uint32_t index) -> void;
    auto stopNode(uint32_t index) -> void;
    auto awaitReadiness(time_point limit) -> bool;
    auto stopNodes() -> void;
    /// Stops the context and moves calls and arrivals into the record.
    auto collect() -> void;

    soak_settings m_settings;
    std::string m_folder;
    std::vector<soak_event> m_plan;
    std::vector<action> m_actions;
    soak_record m_record;
    uint32_t m_version { 0 };
    /// Number of overlapping store outages at present.
    int m_activeStoreOutages { 0 };
    bool m_isShuttingDown { false };

    asio::io_context m_context { 1 };
    asio::executor_work_guard<asio::io_context::executor_type> m_work;
    fake_keyspace_server m_store { "127.0.0.1" };
    std::vector<target> m_targets;
    std::vector<node> m_nodes;
    std::vector<node_addresses> m_addresses;
    std::vector<std::unique_ptr<soak_caller>> m_callers;
    std::thread m_thread;
};

} // namespace gypsumhub
