#pragma once

#include "gypsumhub/decision/selection/confirmation_message.h"

#include <vector>

namespace gypsumhub {

/// Since when it is not known whether a newer configuration exists than the one that this node holds.
///
/// Answers the load of removed keys: a node that does not hear of a new configuration, since it was cut off, frozen or suspended, must
/// stop serving requests with keys in time. The confirmation time is a point in time, by this node's boot clock, at which the version in
/// force or an earlier one was the newest in the store. It never goes back.
class configuration_freshness {
public:
    /// Records that this node has a version in force from now on. Claims of other nodes about it count.
    auto adopt(uint64_t version) -> void;
    /// Records that the store held nothing newer than the version in force at `at`. No effect while there is none.
    auto confirm(time_point at) -> void;
    /// Records another node's statement that `version`, or an earlier one, was the newest in the store at `at`. Counts once this node holds
    /// that version or a newer one. Returns whether it counts already.
    auto recordClaim(uint64_t version, time_point at) -> bool;

    /// Time since the confirmation time, or `unconfirmedAge`.
    auto age(time_point now) const -> duration { return m_isConfirmed ? now - m_confirmedAt : unconfirmedAge; }
    /// Whether a request with a key that arrived at `arrivedAt` may be served.
    auto accepts(time_point arrivedAt, duration limit) const -> bool { return m_isConfirmed && arrivedAt <= m_confirmedAt + limit; }
    auto version() const -> uint64_t { return m_version; }

private:
    struct claim {
        uint64_t version;
        time_point at;
    };

    uint64_t m_version { 0 };
    bool m_isConfirmed { false };
    time_point m_confirmedAt {};
    /// For versions that this node does not hold yet, by version; a later one has a later time.
    std::vector<claim> m_pending;
};

} // namespace gypsumhub
