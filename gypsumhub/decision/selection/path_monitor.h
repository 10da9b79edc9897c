#pragma once

#include "gypsumhub/config/target_registration.h"
#include "gypsumhub/core/random_generator.h"
#include "gypsumhub/core/time_point.h"

#include <functional>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace gypsumhub {

/// A target that can be probed.
struct probe_candidate {
    const target_registration* registration { nullptr };
    bool isProbablyGood { false };
};

/// Finds out when this node has lost its network paths to most targets of a service.
///
/// Answers the load of a node that is partitioned from targets while callers, the store and other nodes reach it: it would try one
/// target after the other for each request and refuse it in the end. When some targets do not respond, and none has since, the node
/// probes targets in several data centres. Its paths are lost when none of these accepts a connection, or when by now most targets
/// are known to be out of reach. They are regained when probes succeed again. The same is seen when the targets have ended; then
/// other nodes cannot help either.
class path_monitor {
public:
    explicit path_monitor(uint64_t seed);

    /// A connection to the target was opened.
    auto recordConnected(std::string_view target, time_point now) -> void;
    /// A connection to the target that was attempted at `startedAt` could not be opened.
    auto recordConnectFailure(std::string_view target, time_point startedAt, time_point now) -> void;
    /// A target answered on an open connection.
    auto recordAnswer(time_point now) -> void { m_answeredAt = now; }
    /// A request sent to the target at `sentAt` on an open connection has got no answer until now.
    auto recordNoAnswer(std::string_view target, time_point sentAt, time_point now) -> void;

    /// Sets the number of targets of the service.
    auto setTargetCount(size_t count) -> void { m_targetCount = count; }
    /// Whether targets are to be probed now.
    auto isProbeDue(time_point now) const -> bool;
    /// Begins a round of probes and returns the ids of the targets to probe. The result of each is reported as that of a connection.
    auto beginProbes(std::span<const probe_candidate>, time_point now) -> std::vector<std::string>;

    auto areLost() const -> bool { return m_areLost; }
    /// The beginning of the earliest attempt that failed before the paths were lost.
    auto firstFailureAt() const -> time_point { return m_firstFailureAt; }
    /// Called when paths were lost (true) or regained (false).
    auto setListener(std::function<void(bool areLost)> listener) -> void { m_listener = std::move(listener); }

private:
    auto addFailure(std::string_view target, time_point startedAt, time_point now) -> void;
    auto areMostUnreachable() const -> bool;
    auto change(bool areLost) -> void;

    random_generator m_random;
    std::function<void(bool)> m_listener;
    bool m_areLost { false };
    size_t m_targetCount { 0 };
    /// Targets to which no connection could be opened since the last one that was, and when that failed.
    std::map<std::string, time_point, std::less<>> m_unreachable;
    /// Targets that did not respond since the last connection was opened, and when.
    std::map<std::string, time_point, std::less<>> m_failures;
    time_point m_firstFailureAt {};
    time_point m_connectedAt {};
    time_point m_answeredAt {};
    /// Targets of the current round whose results are not known yet.
    std::vector<std::string> m_probing;
    /// Probes in a row that succeeded while the paths are lost.
    size_t m_successfulProbes { 0 };
    time_point m_nextProbesAt {};
};

} // namespace gypsumhub
