#pragma once

#include "gypsumhub/config/configuration.h"
#include "gypsumhub/operator/register/register_commands.h"

#include <string>
#include <vector>

namespace gypsumhub {

/// A `gypsumhub register ...` or `gypsumhub rules ...` command line, taken apart.
struct register_request {
    /// Behind the command's name: `show`, `check FILE`, `diff FILE`, `apply FILE`, `history [LIMIT]`, `rollback NUMBER`,
    /// `bundle` or `reinstate FILE`.
    std::vector<std::string> words;
    /// With `apply`: only show what would change.
    bool dryRun { false };
    /// Endpoints of the store, comma-separated.
    std::string storeAddresses;
};

/// Runs the request with these commands and returns the text for standard output; `UsageError` when the words make no command.
auto runRegisterRequest(const register_request&, register_commands&) -> leaf::result<std::string>;

/// Runs the request against the store that it names.
auto runRegisterRequest(const register_request&, register_commands::settings) -> leaf::result<std::string>;

} // namespace gypsumhub
