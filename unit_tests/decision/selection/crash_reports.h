#pragma once

// Crash reports for the tests of poison_request_detector.

#include "gypsumhub/decision/selection/poison_request_detector.h"

#include <algorithm>
#include <string>
#include <vector>

namespace gypsumhub::crash_reports {

using detector = poison_request_detector;

inline auto at(int64_t ms) -> time_point
{
    return time_point {} + milliseconds(ms);
}

/// When all crashes up to `ms` are evaluated.
inline auto settled(int64_t ms) -> time_point
{
    return at(ms) + detector::settleTime + detector::evaluationInterval;
}

inline auto request(uint64_t number) -> request_fingerprint
{
    return { number * 0x9e3779b97f4a7c15U, number * 2 };
}

inline auto ofAnyCaller(uint64_t number) -> request_fingerprint
{
    return { number, number * 2 + 1 };
}

inline const auto poison = request(1);
inline const auto otherPoison = request(2);
inline const auto popular = request(3);

/// An honest request that occurs once.
inline auto unique() -> request_fingerprint
{
    static auto next = uint64_t { 1'000 };
    return request(++next);
}

inline auto makeCrash(int64_t ms, std::vector<request_fingerprint> inFlight, std::string service = "rosterview") -> crash_report
{
    static auto next = uint64_t { 0 };
    return { "i-" + std::to_string(++next), 1, std::move(service), at(ms), std::move(inFlight) };
}

/// Records each report when the crash happens.
inline auto recordAll(detector& recording, const std::vector<crash_report>& reports) -> void
{
    for (auto& report : reports)
        recording.recordCrash(report, report.at);
}

inline auto holdsAny(detector& asked, const std::vector<crash_report>& reports, time_point now, const request_fingerprint& except) -> bool
{
    for (auto& report : reports) {
        for (auto& fingerprint : report.inFlight) {
            if (fingerprint != except && asked.quarantinedUntil(fingerprint, now))
                return true;
        }
    }
    return false;
}

/// The service's eight targets end at once.
inline auto makeOutage(int64_t ms, size_t targetsWithPopular) -> std::vector<crash_report>
{
    auto reports = std::vector<crash_report> {};
    for (auto index = size_t { 0 }; index < 8; ++index) {
        auto inFlight = std::vector { unique(), unique() };
        if (index < targetsWithPopular)
            inFlight.push_back(popular);
        reports.push_back(makeCrash(ms, inFlight));
    }
    return reports;
}

} // namespace gypsumhub::crash_reports
