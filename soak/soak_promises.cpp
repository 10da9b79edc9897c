#include "soak/soak_promises.h"

#include <algorithm>
#include <array>
#include <map>

namespace gypsumhub {

namespace {

    // Tolerance of recorded times: a signal or link fault takes effect, and an exit is detected, within this time.
    constexpr auto recordSlack = milliseconds(500);
    constexpr auto maxLinesPerCheck = size_t { 5 };

    // Descriptions of violations.
    using line_list = std::vector<std::string>;

    // Whether an interval overlaps an exemption of the node.
    auto overlaps(std::span<const soak_exemption> list, uint32_t node, time_point from, time_point until) -> bool
    {
        return std::ranges::any_of(list, [&](auto& entry) {
            auto isOfNode = entry.node == node || entry.node == soak_exemption::allNodes;
            return isOfNode && entry.from - recordSlack <= until && from <= entry.until + recordSlack;
        });
    }

    // Whether an interval overlaps an exemption of any node.
    auto overlapsAny(std::span<const soak_exemption> list, time_point from, time_point until) -> bool
    {
        return std::ranges::any_of(list, [&](auto& entry) { return entry.from - recordSlack <= until && from <= entry.until + recordSlack; });
    }

    auto describe(const soak_call& call) -> std::string
    {
        return call.id + " (node " + std::to_string(call.node) + ", status " + std::to_string(call.status) + ", sent at "
            + std::to_string(call.sentAt.ns / 1'000'000) + " ms, ended after " + std::to_string((call.endedAt - call.sentAt).milliseconds()) + " ms)";
    }

    // Counts the executions of each request.
    auto runsById(const soak_record& record) -> std::map<std::string, int>
    {
        auto runs = std::map<std::string, int> {};
        for (auto& arrival : record.arrivals)
            runs[arrival.requestId] += arrival.isRun ? 1 : 0;
        return runs;
    }

    auto checkAnswerIds(const soak_record& record, const soak_bounds&, line_list& lines) -> void
    {
        for (auto& call : record.calls) {
            if (!call.target.empty() && call.answeredId != call.id)
                lines.push_back("answer of another request: " + describe(call) + " received the answer of " + call.answeredId);
        }
    }

    auto checkAtMostOnce(const soak_record& record, const soak_bounds&, line_list& lines) -> void
    {
        auto runs = runsById(record);
        for (auto& call : record.calls) {
            if (!call.isRetryable && runs[call.id] > 1)
                lines.push_back("non-retryable request ran " + std::to_string(runs[call.id]) + " times: " + describe(call));
        }
    }

    auto checkNotRunRefusals(const soak_record& record, const soak_bounds&, line_list& lines) -> void
    {
        auto runs = runsById(record);
        for (auto& call : record.calls) {
            if (call.status == 503 && call.target.empty() && runs[call.id] > 0)
                lines.push_back("refused as not run, although it ran: " + describe(call));
        }
    }

    auto checkCompletion(const soak_record& record, const soak_bounds&, line_list& lines) -> void
    {
        for (auto& call : record.calls) {
            if (call.status == 0 && !overlaps(record.nodeOutages, call.node, call.sentAt, call.endedAt))
                lines.push_back(std::string(call.isOverdue ? "no answer in time: " : "connection closed without an answer: ") + describe(call));
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
            // Newer configurations may be in force already, older ones may not. A node that was unavailable receives the
            // configuration when it returns.
            auto isNewer = [&](auto& entry) { return entry.acknowledgedAt >= lastBefore->acknowledgedAt && call.target.starts_with(entry.targetPrefix); };
            auto isExempt = overlapsAny(record.storeFaults, lastBefore->acknowledgedAt, call.sentAt)
                || overlapsAny(record.nodeOutages, lastBefore->acknowledgedAt, call.sentAt);
            if (!isExempt && std::ranges::none_of(record.configurations, isNewer))
                lines.push_back("served by an older configuration: " + describe(call) + " by " + call.target);
        }
    }

    auto checkDrains(const soak_record& record, const soak_bounds& bounds, line_list& lines) -> void
    {
        for (auto& drain : record.drains) {
            auto from = drain.acknowledgedAt + bounds.drain;
            if (overlapsAny(record.storeFaults, drain.acknowledgedAt, from) || overlapsAny(record.nodeOutages, drain.acknowledgedAt, from))
                continue;
            for (auto& arrival : record.arrivals) {
                if (arrival.target == drain.target && arrival.at > from && arrival.at < drain.until)
                    lines.push_back("sent to a draining target: " + arrival.requestId + " to " + arrival.target);
            }
        }
    }

    auto checkRetries(const soak_record& record, const soak_bounds& bounds, line_list& lines) -> void
    {
        // The run is longer than one window of the retry budget, so the fraction of all calls is an upper bound.
        auto sent = std::map<std::string, int> {};
        for (auto& arrival : record.arrivals)
            ++sent[arrival.requestId];
        auto retries = 0.0;
        for (auto& [id, count] : sent)
            retries += count - 1;
        auto windows = 1.0 + (record.calls.empty() ? 0.0 : (record.calls.back().endedAt - record.calls.front().sentAt).seconds() / 10.0);
        auto allowed = bounds.retryShare * static_cast<double>(record.calls.size()) + bounds.retryReserve * windows;
        if (retries > allowed)
            lines.push_back("retries: " + std::to_string(retries) + ", allowed " + std::to_string(allowed));
    }

    auto checkRecovery(const soak_record& record, const soak_bounds&, line_list& lines) -> void
    {
        for (auto& call : record.calls) {
            if (call.sentAt >= record.steadyFrom && call.status != 200)
                lines.push_back("not served after recovery: " + describe(call));
        }
    }

    auto checkExits(const soak_record& record, const soak_bounds&, line_list& lines) -> void
    {
        lines.insert(lines.end(), record.exits.begin(), record.exits.end());
    }

    using guarantee_check = void (*)(const soak_record&, const soak_bounds&, line_list&);

    constexpr auto guaranteeChecks = std::to_array<guarantee_check>({ checkAnswerIds, checkAtMostOnce, checkNotRunRefusals, checkCompletion,
        checkConfiguration, checkDrains, checkRetries, checkRecovery, checkExits });

} // namespace

auto findViolations(const soak_record& record, const soak_bounds& bounds) -> std::vector<std::string>
{
    auto violations = line_list {};
    for (auto check : guaranteeChecks) {
        auto lines = line_list {};
        check(record, bounds, lines);
        auto shown = std::min(lines.size(), maxLinesPerCheck);
        violations.insert(violations.end(), lines.begin(), lines.begin() + static_cast<std::ptrdiff_t>(shown));
        if (lines.size() > shown)
            violations.push_back("... and " + std::to_string(lines.size() - shown) + " more of the same kind");
    }
    return violations;
}

} // namespace gypsumhub
