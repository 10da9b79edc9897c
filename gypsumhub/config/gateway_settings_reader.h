#pragma once

#include "gypsumhub/config/gateway_settings.h"
#include "gypsumhub/core/fault.h"

#include <string>
#include <string_view>

namespace gypsumhub {

/// Reads gateway settings from INI text. Fails with `SettingsInvalid` and every fault with its line and hint.
auto parseGatewaySettings(std::string_view text, std::string_view file) -> leaf::result<gateway_settings>;

/// Reads a settings file; fails with `FileUnreadable` when it cannot be read.
auto readGatewaySettings(const std::string& path) -> leaf::result<gateway_settings>;

/// Whether the settings file describes a gateway node: it has a section [gateway].
auto hasGatewaySection(const std::string& path) -> bool;

} // namespace gypsumhub
