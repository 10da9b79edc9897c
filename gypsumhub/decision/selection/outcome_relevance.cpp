#include "gypsumhub/decision/selection/outcome_relevance.h"

namespace gypsumhub {

namespace {

    // A failure is not sent to the other nodes when the target was already bad with at least this probability.
    constexpr auto maxInformativeFailure = 0.95;
    // A success is sent to the other nodes only when the target was bad with more than this probability.
    constexpr auto minInformativeSuccess = 0.15;

} // namespace

auto isInformative(outcome_kind kind, health_change change) -> bool
{
    switch (kind) {
    case outcome_kind::Success:
        return change.before > minInformativeSuccess;
    case outcome_kind::Failure:
        return change.before < maxInformativeFailure;
    case outcome_kind::Stall:
        return false;
    }
    return false;
}

} // namespace gypsumhub
