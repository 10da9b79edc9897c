#pragma once

namespace gypsumhub {

/// Keeps SIGHUP, which would end the process, until `unblockReloadSignal`. Called first of all by the program: the settings may
/// change while it starts. Threads started in between inherit the hold.
auto blockReloadSignal() -> void;

/// Delivers a SIGHUP that came in between, and all later ones. Called by the thread that held it, once a handler is there.
auto unblockReloadSignal() -> void;

} // namespace gypsumhub
