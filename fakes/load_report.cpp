#include "fakes/load_report.h"

#include <algorithm>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <ostream>
#include <tuple>

namespace gypsumhub {

auto load_report::executionsOf(const request_record& record) const -> uint64_t
{
    auto count = uint64_t { 0 };
    for (auto& identity : record.identities)
        if (auto found = executions.find(identity); found != executions.end())
            count += found->second;
    return count;
}

auto load_report::wrongAnswers() const -> uint64_t
{
    return static_cast<uint64_t>(std::ranges::count(requests, true, &request_record::wrongAnswer));
}

auto load_report::cutAnswers() const -> uint64_t
{
    return static_cast<uint64_t>(std::ranges::count(requests, true, &request_record::cutAnswer));
}

auto load_report::duplicateExecutions() const -> uint64_t
{
    auto isDuplicate = [&](auto& record) { return record.nonIdempotent && executionsOf(record) > 1; };
    return static_cast<uint64_t>(std::ranges::count_if(requests, isDuplicate));
}

auto load_report::falseNotRun() const -> uint64_t
{
    auto isFalse = [&](auto& record) { return record.attempts > 0 && record.alwaysNotRun && executionsOf(record) > 0; };
    return static_cast<uint64_t>(std::ranges::count_if(requests, isFalse));
}

auto load_report::violatedGuarantees() const -> uint64_t
{
    return wrongAnswers() + cutAnswers() + duplicateExecutions() + falseNotRun();
}

auto load_report::latency(double quantile) const -> double
{
    auto times = std::vector<double> {};
    for (auto& record : requests)
        if (record.outcome == "answered")
            times.push_back(record.milliseconds);
    if (times.empty())
        return 0;
    auto rank = std::min(times.size() - 1, static_cast<size_t>(quantile * static_cast<double>(times.size())));
    std::ranges::nth_element(times, times.begin() + static_cast<std::ptrdiff_t>(rank));
    return times[rank];
}

auto load_report::print(std::ostream& out) const -> void
{
    auto rows = std::map<std::tuple<bool, std::string, std::string>, uint64_t> {};
    for (auto& record : requests)
        ++rows[{ record.nonIdempotent, record.outcome, record.result }];
    for (auto& [row, count] : rows) {
        auto& [nonIdempotent, outcome, result] = row;
        auto line = boost::json::object {
            { "kind", nonIdempotent ? "non-idempotent" : "idempotent" },
            { "outcome", outcome },
            { "result", result },
            { "count", count },
        };
        out << boost::json::serialize(line) << "\n";
    }
    auto summary = boost::json::object {
        { "requests", requests.size() },
        { "wrong_answers", wrongAnswers() },
        { "cut_answers", cutAnswers() },
        { "twice_run", duplicateExecutions() },
        { "false_not_run", falseNotRun() },
        { "counts_read", hasCounts },
        { "latency_ms_p50", latency(0.50) },
        { "latency_ms_p99", latency(0.99) },
        { "broken_promises", violatedGuarantees() },
    };
    out << boost::json::serialize(summary) << "\n";
}

} // namespace gypsumhub
