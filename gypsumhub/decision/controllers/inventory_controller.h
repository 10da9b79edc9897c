#pragma once

#include "gypsumhub/decision/blackboard.h"
#include "gypsumhub/decision/event.h"

namespace gypsumhub {

/// Keeps the blackboard's services and targets in step with the register and with the platform's list of VMs.
class inventory_controller {
public:
    explicit inventory_controller(blackboard&);

    /// Takes over a configuration; what is known of targets that stay is kept.
    auto onConfiguration(const configuration_event&) -> void;
    /// Takes over the platform's list.
    auto onVmList(const vm_list_event&) -> void;

private:
    auto updateService(service_record&, const std::shared_ptr<const service_spec>&) -> void;
    auto updateTarget(target_record&, const target_spec&) -> void;
    auto updateListing(service_record&) -> void;
    auto statusOf(vm_key) const -> list_status;

    blackboard& m_board;
};

} // namespace gypsumhub
