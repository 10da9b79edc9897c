#pragma once

#include "gypsumhub/decision/selection/failure_rates.h"
#include "gypsumhub/decision/selection/health_estimate.h"

namespace gypsumhub {

/// Learns from all outcomes of a service how its targets fail, and how long its requests take.
class service_model {
public:
    /// The rates as learned so far.
    auto rates() const -> const failure_rates& { return m_rates; }
    /// Mean time from sending to the answer of a sound target.
    auto meanResponseTime() const -> duration { return m_meanResponseTime; }
    /// After this time without an answer a request counts as stalled.
    auto stallThreshold() const -> duration;

    /// Takes in an outcome of a target that was bad with probability `bad` just before.
    auto recordOutcome(outcome_kind, double bad) -> void;
    /// Takes in an episode's end: the time that a target was taken for good, or for bad.
    auto recordGoodPeriod(duration length) -> void;
    auto recordBadPeriod(duration length) -> void;
    /// Takes in the time that a successful request took.
    auto recordResponseTime(duration) -> void;

private:
    // Each rate starts as if a few outcomes had been seen already, so that the first ones do not swing it.
    double m_goodOutcomes { 100 };
    double m_goodFailures { 1 };
    double m_badOutcomes { 10 };
    double m_badFailures { 8.5 };
    double m_goodPeriods { 2 };
    double m_goodSeconds { 60 };
    double m_badPeriods { 2 };
    double m_badSeconds { 12 };
    duration m_meanResponseTime { milliseconds(250) };
    double m_responseCount { 8 };
    failure_rates m_rates {};
};

} // namespace gypsumhub
