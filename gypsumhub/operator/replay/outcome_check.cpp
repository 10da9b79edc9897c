#include "gypsumhub/operator/replay/outcome_check.h"

#include <algorithm>
#include <array>
#include <optional>
#include <string_view>

namespace gypsumhub {

namespace {

    auto secondsText(time_point at) -> std::string
    {
        auto text = std::to_string(static_cast<double>(at.ns) * 1e-9);
        return text.substr(0, text.find('.') + 3) + " s";
    }

    // Returns the state of a target on a node at an instant. Targets are healthy until their first state change.
    auto stateAt(const replay_log& log, node_key node, vm_key target, time_point at) -> health_state
    {
        auto state = health_state::Healthy;
        for (auto& change : log.changes) {
            if (change.at > at)
                break;
            if (change.node == node && change.target == target)
                state = change.to;
        }
        return state;
    }

    // Whether a target in this state is out of rotation.
    auto isOut(health_state state) -> bool
    {
        return state == health_state::Ejected || state == health_state::Leaving;
    }

    // Returns the first instant, not before `from`, at which a target is in the given state on a node.
    auto firstReached(const replay_log& log, node_key node, const expected_outcome& outcome, health_state expected) -> std::optional<time_point>
    {
        if (stateAt(log, node, outcome.target, outcome.from) == expected)
            return outcome.from;
        for (auto& change : log.changes) {
            if (change.node == node && change.target == outcome.target && change.to == expected && change.at >= outcome.from)
                return change.at;
        }
        return std::nullopt;
    }

    // Whether the target reached the state on every driven node in time.
    auto checkReached(const expected_outcome& outcome, const replay_trace& trace, const replay_log& log, health_state expected) -> outcome_result
    {
        auto latest = outcome.from;
        for (auto& node : trace.driven) {
            auto reached = firstReached(log, node.key, outcome, expected);
            if (!reached)
                return { false, "never " + std::string(toString(expected)) + " on " + node.name };
            latest = std::max(latest, *reached);
        }
        return { latest <= outcome.at, std::string(toString(expected)) + " on every node at " + secondsText(latest) };
    }

    auto checkNeverEjected(const expected_outcome& outcome, const replay_log& log) -> outcome_result
    {
        for (auto& change : log.changes) {
            auto matches = outcome.target == vm_key {} ? change.service == outcome.service : change.target == outcome.target;
            if (matches && change.to == health_state::Ejected && change.at >= outcome.from && change.at <= outcome.at)
                return { false, "ejected at " + secondsText(change.at) + ": " + change.reason };
        }
        return { true, "never ejected" };
    }

    auto checkRotation(const expected_outcome& outcome, const replay_trace& trace, const replay_log& log, bool expectedOut) -> outcome_result
    {
        for (auto& node : trace.driven) {
            auto state = stateAt(log, node.key, outcome.target, outcome.at);
            if (isOut(state) != expectedOut)
                return { false, std::string(toString(state)) + " on " + node.name };
        }
        return { true, expectedOut ? "out of rotation on every node" : "in rotation on every node" };
    }

    auto checkLeastInRotation(const expected_outcome& outcome, const replay_log& log) -> outcome_result
    {
        auto least = std::optional<replayed_rotation> {};
        for (auto& rotation : log.rotations) {
            if (rotation.service == outcome.service && rotation.at >= outcome.from && (!least || rotation.count < least->count))
                least = rotation;
        }
        if (!least)
            return { false, "no snapshot" };
        return { static_cast<double>(least->count) >= outcome.limit, "at least " + std::to_string(least->count) + ", at " + secondsText(least->at) };
    }

    auto checkRequestShare(const expected_outcome& outcome, const replay_log& log) -> outcome_result
    {
        auto total = size_t { 0 };
        auto toTarget = size_t { 0 };
        for (auto& request : log.requests) {
            if (request.service != outcome.service || request.at < outcome.from || request.at >= outcome.at)
                continue;
            ++total;
            toTarget += request.target == outcome.target ? 1 : 0;
        }
        auto share = total == 0 ? 0.0 : static_cast<double>(toTarget) / static_cast<double>(total);
        return { total > 0 && share <= outcome.limit, "share " + std::to_string(share) + " of " + std::to_string(total) };
    }

} // namespace

auto checkOutcome(const expected_outcome& outcome, const replay_trace& trace, const replay_log& log) -> outcome_result
{
    switch (outcome.kind) {
    case outcome_kind::EjectedBy:
        return checkReached(outcome, trace, log, health_state::Ejected);
    case outcome_kind::LeavingBy:
        return checkReached(outcome, trace, log, health_state::Leaving);
    case outcome_kind::DemotedBy:
        return checkReached(outcome, trace, log, health_state::Demoted);
    case outcome_kind::NeverEjected:
        return checkNeverEjected(outcome, log);
    case outcome_kind::InRotationAt:
        return checkRotation(outcome, trace, log, false);
    case outcome_kind::OutOfRotationAt:
        return checkRotation(outcome, trace, log, true);
    case outcome_kind::AtLeastInRotation:
        return checkLeastInRotation(outcome, log);
    case outcome_kind::WorkShareAtMost:
        return checkRequestShare(outcome, log);
    case outcome_kind::ProbesAtMost:
        return { static_cast<double>(log.probes) <= outcome.limit, std::to_string(log.probes) + " probes" };
    }
    return { false, "unknown outcome" };
}

auto describe(const expected_outcome& outcome) -> std::string
{
    constexpr auto names = std::to_array<std::string_view>({ "ejected-by", "leaving-by", "demoted-by", "never-ejected", "in-rotation-at",
        "out-of-rotation-at", "at-least-in-rotation", "work-share-at-most", "probes-at-most" });
    auto text = std::string(names[static_cast<size_t>(outcome.kind)]) + " " + outcome.name + " at " + secondsText(outcome.at);
    if (outcome.limit > 0)
        text += ", limit " + std::to_string(outcome.limit);
    return text;
}

} // namespace gypsumhub
