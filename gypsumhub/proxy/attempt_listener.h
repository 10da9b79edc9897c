#pragma once

#include "gypsumhub/decision/attempt_report.h"

namespace gypsumhub {

/// Receives a report when an exchange with a target becomes overdue and when it ends. Called from request threads; must not
/// block.
class attempt_listener {
public:
    virtual ~attempt_listener() = default;
    virtual auto onAttempt(const attempt_report&) -> void = 0;
};

} // namespace gypsumhub
