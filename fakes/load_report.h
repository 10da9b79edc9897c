#pragma once

#include <cstdint>
#include <iosfwd>
#include <map>
#include <string>
#include <vector>

namespace gypsumhub {

/// What a caller knows of one of its requests, over all times that it was sent.
struct request_record {
    bool nonIdempotent { false };
    /// What targets count executions by: the idempotency keys or request ids used.
    std::vector<std::string> identities;
    uint32_t attempts { 0 };
    /// The last outcome: "answered", "not-run" or "unknown".
    std::string outcome { "unknown" };
    /// The last `Gypsumhub-Result`, or what the connection did.
    std::string result { "no-answer" };
    /// Whether every time that it was sent ended as "not-run".
    bool alwaysNotRun { true };
    bool wrongAnswer { false };
    bool cutAnswer { false };
    double milliseconds { 0 };
};

/// The outcomes of a load and the promises that were broken.
struct load_report {
    std::vector<request_record> requests;
    /// Executions by identity over all targets.
    std::map<std::string, uint32_t> executions;
    /// Whether the targets' counts could be read.
    bool hasCounts { false };

    auto wrongAnswers() const -> uint64_t;
    auto cutAnswers() const -> uint64_t;
    /// Requests that must run at most once and were executed more often.
    auto duplicateExecutions() const -> uint64_t;
    /// Requests told "not run" each time that were executed.
    auto falseNotRun() const -> uint64_t;
    auto violatedGuarantees() const -> uint64_t;
    /// Latency at a share of the answered requests, in milliseconds.
    auto latency(double share) const -> double;

    /// Writes the table of outcomes and the summary as JSON lines.
    auto print(std::ostream&) const -> void;

private:
    auto executionsOf(const request_record&) const -> uint64_t;
};

} // namespace gypsumhub
