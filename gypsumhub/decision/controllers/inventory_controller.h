#pragma once

#include "gypsumhub/decision/blackboard.h"
#include "gypsumhub/decision/event.h"

namespace gypsumhub {

/// Updates the services and targets on the blackboard from the register and from the platform's list of VMs.
class inventory_controller {
public:
    explicit inventory_controller(blackboard&);

    /// Applies a configuration. Evidence about targets that remain is kept.
    auto onConfiguration(const configuration_event&) -> void;
    /// Applies the platform's list of VMs.
    auto onVmList(const vm_list_event&) -> void;

private:
    auto updateService(service_record&, const std::shared_ptr<const service_spec>&) -> void;
    auto updateTarget(target_record&, const target_spec&) -> void;
    auto updateListing(service_record&) -> void;
    auto statusOf(vm_key) const -> list_status;

    blackboard& m_board;
};

} // namespace gypsumhub
