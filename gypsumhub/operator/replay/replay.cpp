#include "gypsumhub/operator/replay/replay.h"

#include "gypsumhub/operator/replay/outcome_check.h"
#include "gypsumhub/operator/replay/replay_run.h"
#include "gypsumhub/operator/replay/trace_reader.h"

#include <algorithm>

namespace gypsumhub {

namespace {

    auto printFigures(const replay_log& log, std::ostream& output) -> void
    {
        auto ejections = std::ranges::count(log.changes, health_state::Ejected, &replayed_change::to);
        output << "work_requests " << log.requests.size() << "\nrefused_requests " << log.refused << "\nstate_changes " << log.changes.size()
               << "\nejections " << ejections << "\nprobes " << log.probes << "\nevidence_items " << log.evidenceItems << '\n';
    }

    // Prints the state changes of the target of a missed outcome.
    auto printChanges(const expected_outcome& outcome, const replay_trace& trace, const replay_log& log, std::ostream& output) -> void
    {
        for (auto& change : log.changes) {
            if (change.target != outcome.target)
                continue;
            auto node = std::ranges::find(trace.driven, change.node, &node_spec::key);
            output << "        " << static_cast<double>(change.at.ns) * 1e-9 << " s " << node->name << ": " << toString(change.to) << ", "
                   << change.reason << '\n';
        }
    }

} // namespace

auto runReplay(std::string_view path, std::ostream& output) -> leaf::result<void>
{
    BOOST_LEAF_AUTO(trace, readTrace(path));
    auto log = replayTrace(trace);
    auto missed = fault_list {};
    for (auto& outcome : trace.outcomes) {
        auto result = checkOutcome(outcome, trace, log);
        output << (result.reached ? "reached " : "MISSED  ") << describe(outcome) << ": " << result.observed << '\n';
        if (result.reached)
            continue;
        printChanges(outcome, trace, log, output);
        missed.faults.push_back({ result_code::TraceOutcomeMissed, describe(outcome) + ": " + result.observed, std::string(path), outcome.line });
    }
    printFigures(log, output);
    if (!missed.faults.empty())
        return leaf::new_error(std::move(missed));
    return {};
}

} // namespace gypsumhub
