#pragma once

#include "gypsumhub/config/configuration.h"
#include "gypsumhub/decision/attempt_report.h"
#include "gypsumhub/decision/evidence.h"

#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace gypsumhub {

/// A configuration is in force on this node from now on.
struct configuration_event {
    std::shared_ptr<const configuration> next;
};

/// A request or a probe to a target ended or became overdue.
struct attempt_event {
    attempt_report report;
};

/// The platform's list of VMs changed. Registered VMs that are not on the list are gone.
struct vm_list_event {
    std::vector<vm_key> live;
    std::vector<vm_key> leaving;
};

/// A target's own health or load report arrived. The decision core ignores it, since such reports lag and can be wrong.
struct load_report_event {
    vm_key target;
    bool reportsHealthy { true };
    /// Requests in flight according to the target.
    uint32_t reportedInFlight { 0 };
};

/// The nodes that are alive according to the failure detector, this node included, in order of key.
struct membership_event {
    std::vector<node_key> alive;
};

/// A member of the serving group sent evidence.
struct evidence_event {
    node_key sender;
    std::vector<evidence> items;
};

/// A message from `sender` or the connection to it was lost, so its earlier evidence no longer counts.
struct peer_lost_event {
    node_key sender;
};

/// Time passed. The driver sends a tick at least once per `tickInterval`.
struct tick_event {
};

/// Any event that the decision core handles.
using decision_event = std::variant<configuration_event, attempt_event, vm_list_event, load_report_event, membership_event,
    evidence_event, peer_lost_event, tick_event>;

/// Longest time between two tick events.
constexpr auto tickInterval = milliseconds(100);

} // namespace gypsumhub
