#pragma once

#include "gypsumhub/config/service_rules.h"

namespace gypsumhub {

/// Scores, in nats, at which a target is demoted or ejected; depend on `service_rules::preference`.
struct detection_thresholds {
    /// Error score that ejects.
    float errorEjection { 0 };
    /// Slow score that ejects.
    float slowEjection { 0 };
    /// Score of either kind that demotes.
    float demotion { 0 };
    /// Share of the score from silent reused connections that is subtracted, since only the connections may have failed.
    float connectionDiscount { 0 };
};

/// The thresholds of one preference.
auto thresholdsFor(ejection_preference) -> const detection_thresholds&;

/// Score below which a demoted target is healthy again.
constexpr auto recoveryScore = 1.5F;
/// Score from which evidence about a target is processed and sent to the group.
constexpr auto reportingScore = 3.0F;

} // namespace gypsumhub
