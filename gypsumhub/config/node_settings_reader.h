#pragma once

#include "gypsumhub/config/node_settings.h"
#include "gypsumhub/core/fault.h"

#include <string>
#include <string_view>

namespace gypsumhub {

/// Reads and checks node settings from INI text; `file` names it in faults. Fails with `SettingsInvalid` and all faults.
auto parseNodeSettings(std::string_view text, std::string_view file) -> leaf::result<node_settings>;

/// Reads and checks a settings file. Fails with `FileUnreadable` when it cannot be read, else as `parseNodeSettings` does.
auto readNodeSettings(const std::string& path) -> leaf::result<node_settings>;

} // namespace gypsumhub
