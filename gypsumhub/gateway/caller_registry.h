#pragma once

#include <cstddef>
#include <unordered_set>

namespace gypsumhub {

class caller_connection;

/// The open connections of callers, for the stages of a shutdown that concern all of them.
class caller_registry {
public:
    auto add(caller_connection&) -> void;
    auto remove(caller_connection&) -> void;
    /// Ends the connections on which their callers get no more answers, as the process ends. Returns how many of the callers had not
    /// received an answer whole.
    auto endAll() -> size_t;

private:
    std::unordered_set<caller_connection*> m_connections;
};

} // namespace gypsumhub
