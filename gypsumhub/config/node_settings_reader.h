#pragma once

#include "gypsumhub/config/node_settings.h"
#include "gypsumhub/core/fault.h"

#include <string>
#include <string_view>

namespace gypsumhub {

/// Reads and checks settings from INI text. `file` names the text in faults, which carry `SettingsInvalid`; all are collected.
auto parseNodeSettings(std::string_view text, std::string_view file) -> leaf::result<node_settings>;

/// Reads and checks a settings file.
auto readNodeSettings(const std::string& path) -> leaf::result<node_settings>;

} // namespace gypsumhub
