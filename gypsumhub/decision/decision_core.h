#pragma once

#include "gypsumhub/decision/command.h"
#include "gypsumhub/decision/decision_settings.h"
#include "gypsumhub/decision/event.h"

#include <memory>
#include <string>

namespace gypsumhub {

class blackboard;

/// All decisions of one node about targets: who serves, who is demoted, ejected, probed and reinstated, and what peers are told.
///
/// Pure and single-threaded: time is an argument, randomness comes from the seed, inputs are events and outputs are commands.
/// Many instances may live in one process. The documented entry point for outside programs: docs/DECISION_CORE.md.
class decision_core {
public:
    explicit decision_core(const decision_settings&);
    ~decision_core();
    decision_core(const decision_core&) = delete;
    auto operator=(const decision_core&) -> decision_core& = delete;

    /// Takes one event at `now` and hands resulting commands to the listener before it returns. `now` must not decrease
    /// by more than the clock's own error; an earlier time is treated as the latest one seen.
    auto handle(const decision_event&, time_point now, command_listener&) -> void;

    /// What the core knows; for `explain` and tests.
    auto board() const -> const blackboard&;

    /// Why each target of the service is in, demoted or out, one line a target.
    auto explain(service_key, time_point now) const -> std::string;

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace gypsumhub
