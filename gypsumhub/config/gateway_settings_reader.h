#pragma once

#include "gypsumhub/config/gateway_settings.h"
#include "gypsumhub/core/fault.h"

#include <string>
#include <string_view>

namespace gypsumhub {

/// Reads and checks gateway settings from INI text; `file` names it in faults. Fails with `SettingsInvalid` and all faults, each with line
/// and hint.
auto parseGatewaySettings(std::string_view text, std::string_view file) -> leaf::result<gateway_settings>;

/// Reads and checks a settings file. Fails with `FileUnreadable` when it cannot be read, else as `parseGatewaySettings` does.
auto readGatewaySettings(const std::string& path) -> leaf::result<gateway_settings>;

/// Whether the settings file has a section [gateway] and thus configures a gateway node; false when it cannot be read.
auto hasGatewaySection(const std::string& path) -> bool;

} // namespace gypsumhub
