#include "soak/soak_run.h"

#include "gypsumhub/core/clock.h"

#include <algorithm>
#include <array>
#include <csignal>

namespace gypsumhub {

namespace {

    /// An event and the link fault that it injects.
    struct link_row {
        soak_event_kind kind;
        link_fault fault;
    };

    constexpr auto storeLinkRows = std::to_array<link_row>({
        { soak_event_kind::StoreLinkSlow, link_fault::Slow },
        { soak_event_kind::StoreLinkReset, link_fault::Reset },
        { soak_event_kind::StoreLinkHeldOut, link_fault::HeldOut },
        { soak_event_kind::StoreLinkHeldBack, link_fault::HeldBack },
        { soak_event_kind::StoreLinkSilent, link_fault::Silent },
    });

    constexpr auto targetLinkRows = std::to_array<link_row>({
        { soak_event_kind::TargetLinkSlow, link_fault::Slow },
        { soak_event_kind::TargetLinkReset, link_fault::Reset },
        { soak_event_kind::TargetLinkHeldBack, link_fault::HeldBack },
        { soak_event_kind::TargetLinkSilent, link_fault::Silent },
    });

    /// An event and the behaviour of the target during it.
    struct behaviour_row {
        soak_event_kind kind;
        target_behaviour behaviour;
    };

    constexpr auto behaviourRows = std::to_array<behaviour_row>({
        { soak_event_kind::TargetFails, target_behaviour::Fails },
        { soak_event_kind::TargetSheds, target_behaviour::Sheds },
        { soak_event_kind::TargetDrops, target_behaviour::Drops },
        { soak_event_kind::TargetCuts, target_behaviour::Cuts },
    });

    // Time in which a process catches up after a pause.
    constexpr auto pauseRecoveryTime = milliseconds(1500);
    // Time in which nodes call the store again after a store fault.
    constexpr auto storeRecoveryTime = milliseconds(2500);

} // namespace

auto soak_run::scheduleEvents(time_point start) -> void
{
    for (auto& event : m_plan) {
        auto from = start + (event.from - time_point {}), until = start + (event.until - time_point {});
        scheduleNodeEvent(event, from, until);
        scheduleTargetEvent(event, from, until);
        scheduleStoreEvent(event, from, until);
    }
}

auto soak_run::scheduleNodeEvent(const soak_event& event, time_point from, time_point until) -> void
{
    auto index = event.subject;
    if (event.kind == soak_event_kind::KillNode) {
        schedule(from, [this, index, until] {
            auto& node = m_nodes[index];
            node.isExitExpected = true;
            node.stopDeadline = never;
            node.startAt = std::max(node.startAt, until);
            m_record.nodeOutages.push_back({ index, bootClockNow(), until });
            node.process->signal(SIGKILL);
        });
    } else if (event.kind == soak_event_kind::StopNode)
        schedule(from, [this, index] { stopNode(index); });
    else if (event.kind == soak_event_kind::PauseNode) {
        schedule(from, [this, index, until] {
            m_nodes[index].stopDeadline = never;
            m_record.nodeOutages.push_back({ index, bootClockNow(), until + pauseRecoveryTime });
            m_nodes[index].process->signal(SIGSTOP);
        });
        schedule(until, [this, index] { m_nodes[index].process->signal(SIGCONT); });
    } else if (event.kind == soak_event_kind::ReloadNode) {
        schedule(from, [this, index] {
            writeSettings(index);
            m_nodes[index].process->signal(SIGHUP);
        });
    }
}

auto soak_run::scheduleTargetEvent(const soak_event& event, time_point from, time_point until) -> void
{
    if (auto row = std::ranges::find(targetLinkRows, event.kind, &link_row::kind); row != targetLinkRows.end()) {
        schedule(from, [link = m_targets[event.subject].link.get(), fault = row->fault] { link->setFault(fault); });
        schedule(until, [link = m_targets[event.subject].link.get()] { link->setFault(link_fault::None); });
    }
    if (auto row = std::ranges::find(behaviourRows, event.kind, &behaviour_row::kind); row != behaviourRows.end()) {
        schedule(from, [server = m_targets[event.subject].server.get(), behaviour = row->behaviour] { server->setBehaviour(behaviour); });
        schedule(until, [server = m_targets[event.subject].server.get()] { server->setBehaviour(target_behaviour::Normal); });
    }
    if (event.kind == soak_event_kind::TargetDrains) {
        schedule(from, [this, index = event.subject, until] {
            registerTarget(index, "draining");
            m_record.drains.push_back({ m_targets[index].server->id(), bootClockNow(), until });
        });
        schedule(until, [this, index = event.subject] { registerTarget(index, "ready"); });
    }
}

auto soak_run::scheduleStoreEvent(const soak_event& event, time_point from, time_point until) -> void
{
    if (event.kind == soak_event_kind::Configure)
        schedule(from, [this] { configure(); });
    else if (event.kind == soak_event_kind::StoreEndsLeases)
        schedule(from, [this] { m_store.endLeases(); });
    else if (event.kind == soak_event_kind::StoreOutage) {
        m_record.storeFaults.push_back({ soak_exemption::allNodes, from, until + storeRecoveryTime });
        schedule(from, [this] { m_store.setUnavailable(++m_activeStoreOutages > 0); });
        schedule(until, [this] { m_store.setUnavailable(--m_activeStoreOutages > 0); });
    } else if (auto row = std::ranges::find(storeLinkRows, event.kind, &link_row::kind); row != storeLinkRows.end()) {
        m_record.storeFaults.push_back({ event.subject, from, until + storeRecoveryTime });
        schedule(from, [link = m_nodes[event.subject].storeLink.get(), fault = row->fault] { link->setFault(fault); });
        schedule(until, [link = m_nodes[event.subject].storeLink.get()] { link->setFault(link_fault::None); });
    }
}

} // namespace gypsumhub
