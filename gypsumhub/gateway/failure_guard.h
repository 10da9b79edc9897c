#pragma once

#include "gypsumhub/gateway/gateway_context.h"

#include <functional>
#include <string>
#include <string_view>

namespace gypsumhub {

/// Calls `action`. An exception of it is logged and counted, and goes no further. Returns whether there was none.
auto callGuarded(gateway_context&, std::string_view where, const std::function<void()>& action) -> bool;

/// Runs a coroutine on the node's thread and calls `onEnd` at its end. An exception of it is logged and counted, and goes no further.
auto spawnGuarded(gateway_context&, std::string where, task<>, std::function<void()> onEnd = {}) -> void;

/// Runs a coroutine on the node's thread, and runs it anew when an exception has ended it, after a pause.
auto spawnLoop(gateway_context&, std::string where, std::function<task<>()> loop) -> void;

} // namespace gypsumhub
