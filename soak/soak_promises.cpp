#include "soak/soak_promises.h"

#include <algorithm>
#include <array>
#include <map>

namespace gypsumhub {

namespace {

    // A signal or a cut reaches a node, and an end is noticed, within this time of what the record says.
    constexpr auto recordSlack = milliseconds(500);
    constexpr auto mostLinesEach = size_t { 5 };

    using line_list = std::vector<std::string>;

    auto touches(std::span<const soak_disturbance> list, uint32_t node, time_point from, time_point until) -> bool
    {
        return std::ranges::any_of(list, [&](auto& entry) {
            auto isOfNode = entry.node == node || entry.node == soak_disturbance::allNodes;
            return isOfNode && entry.from - recordSlack <= until && from <= entry.until + recordSlack;
        });
    }

    auto touchesAny(std::span<const soak_disturbance> list, time_point from, time_point until) -> bool
    {
        return std::ranges::any_of(list, [&](auto& entry) { return entry.from - recordSlack <= until && from <= entry.until + recordSlack; });
    }

    auto describe(const soak_call& call) -> std::string
    {
        return call.id + " (node " + std::to_string(call.node) + ", status " + std::to_string(call.status) + ", sent at "
            + std::to_string(call.sentAt.ns / 1'000'000) + " ms, ended after " + std::to_string((call.endedAt - call.sentAt).milliseconds()) + " ms)";
    }

    auto runsById(const soak_record& record) -> std::map<std::string, int>
    {
        auto runs = std::map<std::string, int> {};
        for (auto& arrival : record.arrivals)
            runs[arrival.requestId] += arrival.isRun ? 1 : 0;
        return runs;
    }

    auto checkOwnAnswers(const soak_record& record, const soak_bounds&, line_list& lines) -> void
    {
        for (auto& call : record.calls) {
            if (!call.target.empty() && call.answeredId != call.id)
                lines.push_back("answer of another request: " + describe(call) + " got that of " + call.answeredId);
        }
    }

    auto checkAtMostOnce(const soak_record& record, const soak_bounds&, line_list& lines) -> void
    {
        auto runs = runsById(record);
        for (auto& call : record.calls) {
            if (!call.isRetryable && runs[call.id] > 1)
                lines.push_back("unrepeatable request ran " + std::to_string(runs[call.id]) + " times: " + describe(call));
        }
    }

    auto checkTruthfulRefusals(const soak_record& record, const soak_bounds&, line_list& lines) -> void
    {
        auto runs = runsById(record);
        for (auto& call : record.calls) {
            if (call.status == 503 && call.target.empty() && runs[call.id] > 0)
                lines.push_back("refused as not run, though it ran: " + describe(call));
        }
    }

    auto checkCompletion(const soak_record& record, const soak_bounds&, line_list& lines) -> void
    {
        for (auto& call : record.calls) {
            if (call.status == 0 && !touches(record.absences, call.node, call.sentAt, call.endedAt))
                lines.push_back(std::string(call.isOverdue ? "no answer in time: " : "cut without an answer: ") + describe(call));
        }
    }

    auto checkConfiguration(const soak_record& record, const soak_bounds& bounds, line_list& lines) -> void
    {
        for (auto& call : record.calls) {
            if (call.target.empty())
                continue;
            auto before = [&](auto& entry) { return entry.acknowledgedAt + bounds.configuration < call.sentAt; };
            auto lastBefore = std::ranges::find_if(record.configurations.rbegin(), record.configurations.rend(), before);
            if (lastBefore == record.configurations.rend())
                continue;
            // Newer ones may be in force already; older ones may not. A node that was away learns at its return.
            auto isNewer = [&](auto& entry) { return entry.acknowledgedAt >= lastBefore->acknowledgedAt && call.target.starts_with(entry.targetPrefix); };
            auto isExcused = touchesAny(record.storeTroubles, lastBefore->acknowledgedAt, call.sentAt)
                || touchesAny(record.absences, lastBefore->acknowledgedAt, call.sentAt);
            if (!isExcused && std::ranges::none_of(record.configurations, isNewer))
                lines.push_back("served by an older configuration: " + describe(call) + " by " + call.target);
        }
    }

    auto checkDrains(const soak_record& record, const soak_bounds& bounds, line_list& lines) -> void
    {
        for (auto& drain : record.drains) {
            auto from = drain.acknowledgedAt + bounds.contact;
            if (touchesAny(record.storeTroubles, drain.acknowledgedAt, from) || touchesAny(record.absences, drain.acknowledgedAt, from))
                continue;
            for (auto& arrival : record.arrivals) {
                if (arrival.target == drain.target && arrival.at > from && arrival.at < drain.until)
                    lines.push_back("sent to a target that drains: " + arrival.requestId + " to " + arrival.target);
            }
        }
    }

    auto checkRepeats(const soak_record& record, const soak_bounds& bounds, line_list& lines) -> void
    {
        // The whole run is longer than a window of the allowance, so the share of all calls bounds it from above.
        auto sent = std::map<std::string, int> {};
        for (auto& arrival : record.arrivals)
            ++sent[arrival.requestId];
        auto repeats = 0.0;
        for (auto& [id, count] : sent)
            repeats += count - 1;
        auto windows = 1.0 + (record.calls.empty() ? 0.0 : (record.calls.back().endedAt - record.calls.front().sentAt).seconds() / 10.0);
        auto allowed = bounds.retryShare * static_cast<double>(record.calls.size()) + bounds.retryReserve * windows;
        if (repeats > allowed)
            lines.push_back("repeats: " + std::to_string(repeats) + ", allowed " + std::to_string(allowed));
    }

    auto checkRecovery(const soak_record& record, const soak_bounds&, line_list& lines) -> void
    {
        for (auto& call : record.calls) {
            if (call.sentAt >= record.calmFrom && call.status != 200)
                lines.push_back("not served though all is well again: " + describe(call));
        }
    }

    auto checkExits(const soak_record& record, const soak_bounds&, line_list& lines) -> void
    {
        lines.insert(lines.end(), record.exits.begin(), record.exits.end());
    }

    using promise_check = void (*)(const soak_record&, const soak_bounds&, line_list&);

    constexpr auto promiseChecks = std::to_array<promise_check>({ checkOwnAnswers, checkAtMostOnce, checkTruthfulRefusals, checkCompletion,
        checkConfiguration, checkDrains, checkRepeats, checkRecovery, checkExits });

} // namespace

auto findBrokenPromises(const soak_record& record, const soak_bounds& bounds) -> std::vector<std::string>
{
    auto broken = line_list {};
    for (auto check : promiseChecks) {
        auto lines = line_list {};
        check(record, bounds, lines);
        auto shown = std::min(lines.size(), mostLinesEach);
        broken.insert(broken.end(), lines.begin(), lines.begin() + static_cast<std::ptrdiff_t>(shown));
        if (lines.size() > shown)
            broken.push_back("... and " + std::to_string(lines.size() - shown) + " more of the last kind");
    }
    return broken;
}

} // namespace gypsumhub
