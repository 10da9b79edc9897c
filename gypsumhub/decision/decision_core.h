#pragma once

#include "gypsumhub/decision/command.h"
#include "gypsumhub/decision/decision_settings.h"
#include "gypsumhub/decision/event.h"

#include <memory>
#include <string>

namespace gypsumhub {

class blackboard;

/// Decides for one node which targets are in rotation, demoted, ejected, health-checked or returned to rotation, and which evidence is
/// sent to peers.
///
/// Deterministic and single-threaded: time is an argument, randomness comes from the seed, inputs are events and outputs are
/// commands. A process may have several instances. The public interface for other programs: docs/DECISION_CORE.md.
class decision_core {
public:
    explicit decision_core(const decision_settings&);
    ~decision_core();
    decision_core(const decision_core&) = delete;
    auto operator=(const decision_core&) -> decision_core& = delete;

    /// Handles one event at `now` and sends the resulting commands to the listener before it returns. `now` must not decrease
    /// by more than the clock's own error; an earlier time is treated as the latest one so far.
    auto handle(const decision_event&, time_point now, command_listener&) -> void;

    /// The state of the core; for `explain` and tests.
    auto board() const -> const blackboard&;

    /// Describes why each target of the service is in its state: one line for the service, then one line per target.
    auto explain(service_key, time_point now) const -> std::string;

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace gypsumhub
