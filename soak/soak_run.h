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

/// One run of the soak: a store and targets in this process, nodes as processes of their own, fault links between them,
/// callers, and a plan that disturbs them.
class soak_run {
public:
    /// Keeps settings and lines of the nodes in `folder`, which must exist.
    soak_run(const soak_settings&, uint64_t seed, std::string program, std::string folder);
    ~soak_run();

    /// Plays the plan and returns what happened. False when a node could not be started.
    auto play() -> bool;
    auto record() const -> const soak_record& { return m_record; }
    auto plan() const -> std::span<const soak_event> { return m_plan; }

private:
    struct node {
        std::unique_ptr<node_process> process;
        std::unique_ptr<fault_link> storeLink;
        /// Started again from then on when it does not run.
        time_point startAt {};
        time_point goneSince {};
        /// A planned stop must have ended by then; `never` without one.
        time_point stopBy { never };
        bool mayEnd { false };
    };
    struct target {
        std::unique_ptr<fake_gateway_target> server;
        std::unique_ptr<fault_link> link;
    };
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
    auto at(time_point, std::function<void()>) -> void;
    /// Runs what is due and looks after the processes, until then.
    auto advance(time_point until) -> void;
    auto lookAfter(uint32_t index) -> void;
    auto stopNode(uint32_t index) -> void;
    auto awaitReadiness(time_point limit) -> bool;
    auto endNodes() -> void;
    auto collect() -> void;

    soak_settings m_settings;
    std::string m_folder;
    std::vector<soak_event> m_plan;
    std::vector<action> m_actions;
    soak_record m_record;
    uint32_t m_version { 0 };
    int m_awayCount { 0 };
    bool m_isEnding { false };

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
