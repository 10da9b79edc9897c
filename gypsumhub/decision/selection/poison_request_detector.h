#pragma once

#include "gypsumhub/core/time_point.h"
#include "gypsumhub/decision/selection/crash_report.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

namespace gypsumhub {

/// Finds the requests that crash the targets that run them and quarantines them, from the crash reports of all nodes.
///
/// A request is charged with the crashes at which it was in flight, unless a common cause or a request with more crashes explains
/// them better, and is quarantined when it is charged with three that did not all happen at once. Where its content crashes targets
/// whoever the caller is, the content is quarantined, otherwise the content of that caller. Nodes that have received the same reports,
/// successes and quarantines decide alike.
///
/// The cost of an evaluation is linear in the recorded requests, and evaluations are at least `evaluationInterval` apart. Without
/// crashes and quarantines every function is O(1).
class poison_request_detector {
public:
    /// Time for the reports of other nodes and of simultaneous crashes to arrive before a crash is evaluated.
    static constexpr auto settleTime = milliseconds(150);
    /// Crashes of one service at most this far apart may have a common cause, such as the loss of a rack.
    static constexpr auto commonCauseTime = milliseconds(150);
    static constexpr auto crashRetention = minutes(10);
    static constexpr auto quarantineTime = minutes(10);
    /// How long a request counts as harmless after a success.
    static constexpr auto provenTime = seconds(60);
    /// Nodes repeat each other's quarantines with the delay of the network, which must not lengthen them.
    static constexpr auto minExtension = seconds(1);
    static constexpr auto evaluationInterval = milliseconds(10);
    static constexpr auto maxCrashes = size_t { 256 };
    static constexpr auto maxRequestsPerCrash = size_t { 64 };
    static constexpr auto maxQuarantined = size_t { 1024 };
    static constexpr auto maxQuarantinedPerMessage = size_t { 16 };
    static constexpr auto provenSlots = size_t { 4096 };

    poison_request_detector() = default;
    /// Not copyable: crashes point into the table of evidence.
    poison_request_detector(poison_request_detector&&) = default;
    auto operator=(poison_request_detector&&) -> poison_request_detector& = default;

    /// Records a report of this or another node. Reports about one incarnation of a target are merged: all their requests, at the
    /// earliest time. Requests proven harmless are left out.
    auto recordCrash(const crash_report&, time_point now) -> void;
    /// Records that a target answered the request with success, so it does not crash targets. Returns whether it was in flight at a
    /// recorded crash; the other nodes are then to be told. Has no effect on a quarantined request: it is no longer run, so its
    /// success is older than its last crash.
    auto recordSuccess(const request_fingerprint&, time_point now) -> bool;
    /// Records a success that another node has seen.
    auto recordExoneration(const request_fingerprint&, time_point now) -> void;
    /// Records a quarantine of another node. An end that is later by `minExtension` wins, at most `quarantineTime` from now.
    auto recordQuarantine(const quarantined_request&, time_point now) -> void;

    /// Whether the request succeeded within `provenTime`. Crash reports leave it out.
    auto isProven(const request_fingerprint&, time_point now) const -> bool;
    /// The end of the request's quarantine; it must not be sent before. Asking means that a copy has arrived, so it extends the
    /// quarantine to `quarantineTime` from now.
    auto quarantinedUntil(const request_fingerprint&, time_point now) -> std::optional<time_point>;
    /// The same for a request with both its fingerprints.
    auto quarantinedUntil(const request_identity&, time_point now) -> std::optional<time_point>;
    auto isSuspect(const request_identity&, time_point now) -> bool;
    /// Whether the request is charged with two crashes. It is then not retried within the same attempt of its caller.
    auto isSuspect(const request_fingerprint&, time_point now) -> bool;
    /// Quarantines to send to other nodes, newest first, at most `maxQuarantinedPerMessage`. When there are more, half of the message
    /// holds the newest ones and half rotates through the others.
    auto quarantined(time_point now) -> std::vector<quarantined_request>;

    /// Whether there is neither a crash nor a quarantine, so no request needs to be looked up.
    auto isEmpty() const -> bool { return m_crashes.empty() && m_quarantined.empty(); }
    auto hasCrashes() const -> bool { return !m_crashes.empty(); }
    auto crashCount() const -> size_t { return m_crashes.size(); }
    auto quarantinedCount() const -> size_t { return m_quarantined.size(); }
    /// Memory in use, with the overhead of the allocator estimated.
    auto bytes() const -> size_t;
    /// Upper bound of `bytes()`.
    static auto maxBytes() -> size_t;

private:
    /// The fingerprint is a hash already.
    struct fingerprint_hash {
        auto operator()(const request_fingerprint& fingerprint) const noexcept -> size_t { return fingerprint.low; }
    };

    /// A number of crashes, and when the first and the last of them happened.
    struct crash_series {
        uint32_t count { 0 };
        time_point first { never };
        time_point last {};

        auto add(time_point) -> void;
        /// Whether they are too far apart for a single common cause.
        auto isSpread() const -> bool { return count > 1 && last - first > commonCauseTime; }
    };

    /// What the crashes say about one request.
    struct evidence {
        /// Recorded crashes at which it was in flight.
        uint32_t crashes { 0 };
        /// Moments at which it was in flight at crashes, more than `commonCauseTime` apart, and the last of them.
        uint32_t moments { 0 };
        time_point lastMoment {};
        /// Settled crashes that no common cause explains.
        crash_series chargeable;
        /// Settled crashes that it is charged with; the latest time at which one of them is forgotten.
        crash_series charged;
        time_point chargedUntil {};
        /// Unexplained crashes in the window around the current one.
        uint32_t inWindow { 0 };
        bool isQuarantined { false };
    };

    using evidence_table = std::unordered_map<request_fingerprint, evidence, fingerprint_hash>;
    /// A request with its evidence. The table keeps it in place while the request is in flight at a recorded crash.
    using suspect = evidence_table::value_type;

    /// The merged reports about one incarnation of a target.
    struct crash {
        /// Hash of target and incarnation.
        uint64_t key { 0 };
        /// Hash of the service's name.
        uint64_t service { 0 };
        time_point at;
        time_point settledAt;
        time_point forgottenAt;
        /// Sorted by fingerprint, at most `maxRequestsPerCrash`.
        std::vector<suspect*> inFlight {};
        /// Bit i: no common cause explains the crash for request i.
        uint64_t chargeable { 0 };
        /// Whether one of the requests is quarantined or has probably caused other crashes.
        bool isExplained { false };
    };

    struct proven_slot {
        request_fingerprint fingerprint;
        time_point until;
    };

    auto findOrAddCrash(const crash_report&, time_point now) -> crash*;
    auto eraseCrash(std::vector<crash>::iterator) -> void;
    /// Replaces the requests of a crash and updates their evidence.
    auto assignInFlight(crash&, std::span<const request_fingerprint>) -> void;
    auto exonerate(const request_fingerprint&, time_point now) -> bool;
    auto quarantine(const request_fingerprint&, time_point until, time_point now) -> void;
    auto isQuarantined(const request_fingerprint&, time_point now) const -> bool;
    auto dropExpiredQuarantines(time_point now) -> void;

    auto scheduleEvaluation(time_point due) -> void;
    /// Charges the settled crashes to requests and quarantines those charged too often, if this is due.
    auto evaluate(time_point now) -> void;
    auto resetEvidence(time_point now) -> void;
    /// Marks the crashes that have an explanation of their own. They are no sign of a common cause.
    auto markExplained() -> void;
    auto findCommonCauses(time_point now) -> void;
    auto assignCharges(time_point now) -> void;
    auto addToWindow(const crash&) -> void;
    auto removeFromWindow(const crash&) -> void;

    std::vector<crash> m_crashes;
    /// Evidence about each request in flight at a recorded crash.
    evidence_table m_evidence;
    /// Ends of the quarantines.
    std::unordered_map<request_fingerprint, time_point, fingerprint_hash> m_quarantined;
    /// Direct-mapped: a newer success replaces an older one in the same slot.
    std::vector<proven_slot> m_proven = std::vector<proven_slot>(provenSlots);
    /// Unexplained crashes in the window around the crash under evaluation.
    uint32_t m_unexplainedInWindow { 0 };
    time_point m_evaluateAt { never };
    time_point m_nextEvaluationFrom {};
    /// The last quarantine sent by rotation.
    request_fingerprint m_lastRotated;
};

} // namespace gypsumhub
