#include "gypsumhub/decision/decision_core.h"

#include "gypsumhub/decision/blackboard.h"
#include "gypsumhub/decision/controllers/group_controller.h"
#include "gypsumhub/decision/controllers/inventory_controller.h"
#include "gypsumhub/decision/controllers/slot_controller.h"
#include "gypsumhub/decision/controllers/snapshot_controller.h"

#include <algorithm>

namespace gypsumhub {

struct decision_core::implementation {
    explicit implementation(const decision_settings& settings)
        : board(settings)
    {
    }

    auto on(const configuration_event& event) -> void
    {
        inventory.onConfiguration(event);
        groups.chooseGroups();
    }

    auto on(const attempt_event&) -> void { }
    auto on(const vm_list_event& event) -> void { inventory.onVmList(event); }
    auto on(const load_report_event&) -> void { }
    auto on(const membership_event& event) -> void { groups.onMembership(event); }
    auto on(const evidence_event&) -> void { }
    auto on(const peer_lost_event&) -> void { }
    auto on(const tick_event&) -> void { }

    auto divideSlots(service_record& service) -> void { slots.divide(service); }

    auto followListing(service_record& service) -> void
    {
        for (auto& target : service.targets) {
            auto next = isDeparting(target, board.now) ? health_state::Leaving : health_state::Healthy;
            target.state = next;
        }
        service.unpublished = true;
        board.unpublished = true;
    }

    /// Runs every step over the services that the event touched.
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
    /// What is done to a changed service, in this order.
    static constexpr service_step steps[] = {
        &implementation::divideSlots,
        &implementation::followListing,
    };

    blackboard board;
    command_listener* listener { nullptr };
    inventory_controller inventory { board };
    group_controller groups { board };
    slot_controller slots { board };
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
    core.listener = &listener;
    std::visit([&](auto& typed) { core.on(typed); }, event);
    core.runSteps();
    core.snapshots.publish(listener);
}

auto decision_core::board() const -> const blackboard&
{
    return m_implementation->board;
}

auto decision_core::explain(service_key key, time_point) const -> std::string
{
    auto* service = board().findService(key);
    if (!service)
        return "unknown service\n";
    auto text = std::string {};
    for (auto& target : service->targets)
        text += target.name + " " + toString(target.state) + "\n";
    return text;
}

} // namespace gypsumhub
