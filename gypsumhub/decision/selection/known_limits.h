#pragma once

#include "gypsumhub/decision/selection/target_limit.h"

#include <map>
#include <string_view>

namespace gypsumhub {

/// The rate limits of targets as learned from their answers and from other nodes. The latest answer counts, also when it is reported
/// before an earlier one; of answers to this node that may have overtaken each other, the one that allows least. Kept independently of
/// the registrations, since a registration can be missing while the store is away.
class known_limits {
public:
    /// Records what a target stated. Returns whether it has changed: a limit that is new, another one, or none any more.
    auto record(const target_limit&) -> bool;
    /// Records what a target stated in its answer to a request that this node sent at `sentAt`. Of answers that may have overtaken each
    /// other, the one that allows least counts: one that allows more must answer a request sent after the known limit was stated.
    auto recordAnswer(const target_limit&, time_point sentAt) -> bool;
    /// The limit that holds for the target, or null when there is none.
    auto find(std::string_view target, uint64_t incarnation) const -> const target_limit*;
    /// What the target stated last, also that it has no limit any more. Null when it never stated one.
    auto latest(std::string_view target) const -> const target_limit*;
    /// Whether no limit was stated lately by any target.
    auto isEmpty() const -> bool { return m_limits.empty(); }
    /// Number of targets with a limit.
    auto count() const -> size_t;
    /// Drops what is only kept to recognize late reports.
    auto prune(time_point now) -> void;

    /// Bounds memory; of more targets the oldest statements are dropped.
    static constexpr auto maxTargets = size_t { 4096 };

private:
    struct known_limit {
        target_limit limit;
        /// When the limit began, or was last stated to this node. Reports that repeat it do not count: each makes it appear later, by
        /// the time that it was on its way.
        time_point confirmedAt;
    };

    std::map<std::string, known_limit, std::less<>> m_limits;
};

} // namespace gypsumhub
