#pragma once

#include "gypsumhub/core/random_generator.h"
#include "gypsumhub/decision/command.h"
#include "gypsumhub/decision/decision_settings.h"
#include "gypsumhub/decision/service_record.h"

#include <memory>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace gypsumhub {

/// The shared state of a decision core. Only its controllers read and write it; others see it as const.
class blackboard {
public:
    explicit blackboard(const decision_settings&);

    /// The service with this key, or null.
    auto findService(service_key) -> service_record*;
    /// The service with this key, or null.
    auto findService(service_key) const -> const service_record*;
    /// Rebuilds the index after `services` changed.
    auto indexServices() -> void;
    /// Moves a target to a state, reports the change and closes idle connections to a target out of rotation.
    auto changeState(service_record&, target_record&, health_state, std::string reason) -> void;
    /// Sets the weight of a target, in thousandths of the full weight.
    auto changeWeight(service_record&, target_record&, uint16_t) -> void;
    /// Marks a service so that the controllers' steps run for it before the current event ends.
    auto markChanged(service_record&) -> void;

    decision_settings settings;
    random_generator random;
    std::shared_ptr<const configuration> config;
    /// In order of key.
    std::vector<service_record> services;
    /// Whether services, groups or configuration changed since the last snapshot.
    bool unpublished { false };
    /// Positions in `services` of those marked as changed.
    std::vector<size_t> changedServices;

    /// Nodes that are alive according to the failure detector, in order of key; meaningless until `membershipReceived`.
    std::vector<node_key> alive;
    bool membershipReceived { false };

    /// The platform's latest list of VMs; meaningless until `vmListReceived`.
    std::unordered_set<vm_key> listedLive;
    std::unordered_set<vm_key> listedLeaving;
    bool vmListReceived { false };

    /// Commands to send to the listener before the event ends.
    std::vector<decision_command> outbox;
    uint64_t snapshotVersion { 0 };
    /// Time of the current event; never decreases.
    time_point now { 0 };

private:
    std::unordered_map<service_key, size_t> m_index;
};

} // namespace gypsumhub
