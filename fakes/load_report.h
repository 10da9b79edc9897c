#pragma once

#include <cstdint>
#include <iosfwd>
#include <map>
#include <string>
#include <vector>

namespace gypsumhub {

/// The state of one request of a load over all of its attempts.
struct request_record {
    bool nonIdempotent { false };
    /// Idempotency keys or request ids of the attempts. Targets count executions by them.
    std::vector<std::string> identities;
    uint32_t attempts { 0 };
    /// Outcome of the last attempt: "answered", "not-run" or "unknown".
    std::string outcome { "unknown" };
    /// The last `Gypsumhub-Result`, or "connect-failed" or "connection-lost" when there was no answer.
    std::string result { "no-answer" };
    /// Whether every attempt had the outcome "not-run".
    bool alwaysNotRun { true };
    bool wrongAnswer { false };
    bool cutAnswer { false };
    /// Time from the first attempt to the end of the last.
    double milliseconds { 0 };
};

/// The outcomes of a load and the violations of the proxy's guarantees.
struct load_report {
    std::vector<request_record> requests;
    /// Executions by identity over all targets.
    std::map<std::string, uint32_t> executions;
    /// Whether the targets' counts could be read.
    bool hasCounts { false };

    auto wrongAnswers() const -> uint64_t;
    auto cutAnswers() const -> uint64_t;
    /// Number of non-idempotent requests that were executed more than once.
    auto duplicateExecutions() const -> uint64_t;
    /// Number of requests that were executed although every attempt was reported as "not-run".
    auto falseNotRun() const -> uint64_t;
    /// Sum of wrong and cut answers, duplicate executions and false "not-run" reports.
    auto violatedGuarantees() const -> uint64_t;
    /// Latency quantile of the answered requests in milliseconds; 0 if there are none.
    auto latency(double quantile) const -> double;

    /// Writes the number of requests by outcome and a summary as JSON lines.
    auto print(std::ostream&) const -> void;

private:
    auto executionsOf(const request_record&) const -> uint64_t;
};

} // namespace gypsumhub
