#pragma once

#include "gypsumhub/gateway/target_http_connection.h"

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace gypsumhub {

/// Pool of idle connections to targets, by target id.
class target_connection_pool {
public:
    /// Removes and returns an idle connection that is safe for the next request, or null. A request that must not run twice gets no
    /// connection that has been idle for long, because the target may be closing it at that moment.
    auto acquire(std::string_view target, std::string_view requestId, bool isRetryable, time_point now) -> std::shared_ptr<target_http_connection>;
    /// Returns a connection to the pool after an exchange. Drops it when it is not reusable or the pool of the target is full.
    auto release(std::string_view target, std::shared_ptr<target_http_connection>) -> void;
    auto removeTarget(std::string_view target) -> void;
    /// Closes connections that have been idle for too long or that the target has closed.
    auto sweep(time_point now) -> void;
    auto size() const -> size_t;

private:
    std::map<std::string, std::vector<std::shared_ptr<target_http_connection>>, std::less<>> m_idle;
};

} // namespace gypsumhub
