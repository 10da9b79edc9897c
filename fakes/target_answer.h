#pragma once

#include "fakes/target_behaviour.h"

#include <string>
#include <string_view>
#include <utility>

namespace gypsumhub {

/// The bytes of a complete answer of a fake target.
auto makeAnswer(unsigned status, std::string_view requestId, std::string_view target, std::string_view fields = {}) -> std::string;
/// The bytes that an endless answer begins with, and those that are repeated. Empty for other behaviours.
auto endlessBytes(target_behaviour) -> std::pair<std::string, std::string>;
/// An answer that breaks off; empty for other behaviours.
auto brokenBytes(target_behaviour, const std::string& id) -> std::string;

} // namespace gypsumhub
