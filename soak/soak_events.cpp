#include "soak/soak_run.h"

#include "gypsumhub/core/clock.h"

#include <algorithm>
#include <array>
#include <csignal>

namespace gypsumhub {

namespace {

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

    struct manner_row {
        soak_event_kind kind;
        target_behaviour manner;
    };

    constexpr auto mannerRows = std::to_array<manner_row>({
        { soak_event_kind::TargetFails, target_behaviour::Fails },
        { soak_event_kind::TargetSheds, target_behaviour::Sheds },
        { soak_event_kind::TargetDrops, target_behaviour::Drops },
        { soak_event_kind::TargetCuts, target_behaviour::Cuts },
    });

    // A process that was paused catches up in this time, and a store that was away is called again.
    constexpr auto afterPause = milliseconds(1500);
    constexpr auto afterStoreTrouble = milliseconds(2500);

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
        at(from, [this, index, until] {
            auto& node = m_nodes[index];
            node.mayEnd = true;
            node.stopBy = never;
            node.startAt = std::max(node.startAt, until);
            m_record.absences.push_back({ index, bootClockNow(), until });
            node.process->signal(SIGKILL);
        });
    } else if (event.kind == soak_event_kind::StopNode)
        at(from, [this, index] { stopNode(index); });
    else if (event.kind == soak_event_kind::PauseNode) {
        at(from, [this, index, until] {
            m_nodes[index].stopBy = never;
            m_record.absences.push_back({ index, bootClockNow(), until + afterPause });
            m_nodes[index].process->signal(SIGSTOP);
        });
        at(until, [this, index] { m_nodes[index].process->signal(SIGCONT); });
    } else if (event.kind == soak_event_kind::ReloadNode) {
        at(from, [this, index] {
            writeSettings(index);
            m_nodes[index].process->signal(SIGHUP);
        });
    }
}

auto soak_run::scheduleTargetEvent(const soak_event& event, time_point from, time_point until) -> void
{
    if (auto row = std::ranges::find(targetLinkRows, event.kind, &link_row::kind); row != targetLinkRows.end()) {
        at(from, [link = m_targets[event.subject].link.get(), fault = row->fault] { link->setFault(fault); });
        at(until, [link = m_targets[event.subject].link.get()] { link->setFault(link_fault::None); });
    }
    if (auto row = std::ranges::find(mannerRows, event.kind, &manner_row::kind); row != mannerRows.end()) {
        at(from, [server = m_targets[event.subject].server.get(), manner = row->manner] { server->setBehaviour(manner); });
        at(until, [server = m_targets[event.subject].server.get()] { server->setBehaviour(target_behaviour::Normal); });
    }
    if (event.kind == soak_event_kind::TargetDrains) {
        at(from, [this, index = event.subject, until] {
            registerTarget(index, "draining");
            m_record.drains.push_back({ m_targets[index].server->id(), bootClockNow(), until });
        });
        at(until, [this, index = event.subject] { registerTarget(index, "ready"); });
    }
}

auto soak_run::scheduleStoreEvent(const soak_event& event, time_point from, time_point until) -> void
{
    if (event.kind == soak_event_kind::Configure)
        at(from, [this] { configure(); });
    else if (event.kind == soak_event_kind::StoreForgets)
        at(from, [this] { m_store.endLeases(); });
    else if (event.kind == soak_event_kind::StoreAway) {
        m_record.storeTroubles.push_back({ soak_disturbance::allNodes, from, until + afterStoreTrouble });
        at(from, [this] { m_store.setUnavailable(++m_awayCount > 0); });
        at(until, [this] { m_store.setUnavailable(--m_awayCount > 0); });
    } else if (auto row = std::ranges::find(storeLinkRows, event.kind, &link_row::kind); row != storeLinkRows.end()) {
        m_record.storeTroubles.push_back({ event.subject, from, until + afterStoreTrouble });
        at(from, [link = m_nodes[event.subject].storeLink.get(), fault = row->fault] { link->setFault(fault); });
        at(until, [link = m_nodes[event.subject].storeLink.get()] { link->setFault(link_fault::None); });
    }
}

} // namespace gypsumhub
