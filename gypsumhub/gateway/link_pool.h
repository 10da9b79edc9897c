#pragma once

#include "gypsumhub/gateway/target_link.h"

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace gypsumhub {

/// Idle connections to targets, by target id.
class link_pool {
public:
    /// An idle connection that is safe for the next request, or null. For a request that must not run twice a connection
    /// that was idle for long is not safe: the target may be closing it at this moment.
    auto take(std::string_view target, bool isRetryable, time_point now) -> std::shared_ptr<target_link>;
    auto giveBack(std::string_view target, std::shared_ptr<target_link>) -> void;
    auto removeTarget(std::string_view target) -> void;
    /// Closes connections that were idle for too long or that the target has closed.
    auto sweep(time_point now) -> void;
    auto size() const -> size_t;

private:
    std::map<std::string, std::vector<std::shared_ptr<target_link>>, std::less<>> m_idle;
};

} // namespace gypsumhub
