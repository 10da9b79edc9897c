#pragma once

namespace gypsumhub {

/// Blocks SIGHUP, which would end the process by default, until `unblockReloadSignal`. The program calls this first, since the
/// settings may change while it starts. Threads that are started in between inherit the blocked signal.
auto blockReloadSignal() -> void;

/// Delivers a SIGHUP that was received in between, and all later ones. Called by the thread that blocked the signal, after a
/// handler is installed.
auto unblockReloadSignal() -> void;

} // namespace gypsumhub
