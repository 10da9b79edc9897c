#pragma once

#include "gypsumhub/decision/blackboard.h"
#include "gypsumhub/decision/command.h"

#include <memory>

namespace gypsumhub {

/// Publishes a new routing snapshot when data that request threads read has changed.
class snapshot_controller {
public:
    explicit snapshot_controller(blackboard&);

    /// Sends a new snapshot to the listener if the published one is stale.
    auto publish(command_listener&) -> void;

private:
    auto makeView(service_record&) const -> service_view;

    blackboard& m_board;
    std::shared_ptr<const routing_snapshot> m_published;
};

} // namespace gypsumhub
