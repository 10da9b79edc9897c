#include "gypsumhub/decision/decision_core.h"

#include "gypsumhub/decision/blackboard.h"
#include "gypsumhub/decision/controllers/evidence_controller.h"
#include "gypsumhub/decision/controllers/floor_controller.h"
#include "gypsumhub/decision/controllers/group_controller.h"
#include "gypsumhub/decision/controllers/health_controller.h"
#include "gypsumhub/decision/controllers/inventory_controller.h"
#include "gypsumhub/decision/controllers/slot_controller.h"
#include "gypsumhub/decision/controllers/snapshot_controller.h"
#include "gypsumhub/decision/controllers/tick_controller.h"
#include "gypsumhub/decision/controllers/trial_controller.h"
#include "gypsumhub/decision/controllers/work_controller.h"
#include "gypsumhub/decision/explanation.h"

#include <algorithm>

namespace gypsumhub {

/// The blackboard and the controllers of a decision core.
struct decision_core::implementation {
    explicit implementation(const decision_settings& settings)
        : board(settings)
    {
    }

    auto on(const configuration_event& event) -> void
    {
        inventory.onConfiguration(event);
        groups.onConfiguration();
    }

    auto on(const attempt_event& event) -> void { work.onAttempt(event.report); }
    auto on(const vm_list_event& event) -> void { inventory.onVmList(event); }
    /// Ignored: load and health reports lag and can be wrong, so they neither eject a target nor prevent an ejection.
    auto on(const load_report_event&) -> void { }
    auto on(const membership_event& event) -> void { groups.onMembership(event); }
    auto on(const evidence_event& event) -> void { evidenceExchange.onEvidence(event); }
    auto on(const peer_lost_event& event) -> void { evidenceExchange.onPeerLost(event); }
    auto on(const tick_event&) -> void { ticks.onTick(); }

    auto divideSlots(service_record& service) -> void { slots.divide(service); }
    auto countHangs(service_record& service) -> void
    {
        for (auto& target : service.targets)
            work.countHangs(service, target);
    }
    auto expireEvidence(service_record& service) -> void { evidenceExchange.expire(service); }
    auto evaluateHealth(service_record& service) -> void { health.evaluate(service); }
    auto applyFloor(service_record& service) -> void { floor.apply(service); }
    auto advanceTrials(service_record& service) -> void { trials.advance(service); }
    auto shareEvidence(service_record& service) -> void { evidenceExchange.share(service); }

    /// Runs every step for the services that the event changed.
    auto runSteps() -> void
    {
        for (auto position : board.changedServices) {
            auto& service = board.services[position];
            for (auto step : steps)
                (this->*step)(service);
            service.changed = false;
        }
        board.changedServices.clear();
    }

    using service_step = auto (implementation::*)(service_record&) -> void;
    /// Steps that run for a changed service, in this order.
    static constexpr service_step steps[] = {
        &implementation::divideSlots,
        &implementation::countHangs,
        &implementation::expireEvidence,
        &implementation::evaluateHealth,
        &implementation::applyFloor,
        &implementation::advanceTrials,
        &implementation::shareEvidence,
    };

    /// Sends the commands of the controllers to the listener, the snapshot last.
    auto flush(command_listener& listener) -> void
    {
        for (auto& command : board.outbox)
            listener.onCommand(std::move(command));
        board.outbox.clear();
        snapshots.publish(listener);
    }

    blackboard board;
    inventory_controller inventory { board };
    group_controller groups { board };
    slot_controller slots { board };
    work_controller work { board };
    trial_controller trials { board };
    health_controller health { board, trials };
    floor_controller floor { board };
    evidence_controller evidenceExchange { board, trials };
    tick_controller ticks { board };
    snapshot_controller snapshots { board };
};

decision_core::decision_core(const decision_settings& settings)
    : m_implementation(std::make_unique<implementation>(settings))
{
}

decision_core::~decision_core() = default;

auto decision_core::handle(const decision_event& event, time_point now, command_listener& listener) -> void
{
    auto& core = *m_implementation;
    core.board.now = std::max(core.board.now, now);
    std::visit([&](auto& typed) { core.on(typed); }, event);
    core.runSteps();
    core.flush(listener);
}

auto decision_core::board() const -> const blackboard&
{
    return m_implementation->board;
}

auto decision_core::explain(service_key key, time_point now) const -> std::string
{
    return explainService(board(), key, now);
}

} // namespace gypsumhub
