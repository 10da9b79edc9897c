#pragma once

#include "gypsumhub/decision/selection/target_state.h"

namespace gypsumhub {

/// Whether a target has been left idle for long because it failed several times in a row.
auto isResting(const target_state&, time_point now) -> bool;

/// How many of `usable` targets may rest at a time.
auto maxRestingTargets(size_t usable) -> size_t;

/// How urgently an idle target needs a request, whatever this node believes about it: 0 until one is due, then the idle time in units of
/// the interval after which one is due.
///
/// Answers the load of a service whose targets fail now and then by themselves. Estimates keep requests away from a target that failed
/// as long as others are free, and only a request can show that it works again. The urgency rises without bound, so that each target
/// gets one within a bounded time. A target that failed several times in a row may rest for longer, since most trials of it cost a
/// request. Only a small share of the targets may rest: if more fail, they are probably not the cause. Requests that can be retried are
/// due earlier, as their callers lose only time. Outcomes that other nodes report count as requests, so that one node tries a target
/// for all.
auto idleUrgency(const target_state&, bool isRetryable, bool mayRest, time_point now) -> double;

} // namespace gypsumhub
