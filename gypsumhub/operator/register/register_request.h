#pragma once

#include "gypsumhub/config/configuration.h"
#include "gypsumhub/operator/register/register_commands.h"

#include <string>
#include <vector>

namespace gypsumhub {

/// Parsed command line of `gypsumhub register ...` or `gypsumhub rules ...`.
struct register_request {
    /// Subcommand and its arguments: `show`, `check FILE`, `diff FILE`, `apply FILE`, `history [LIMIT]`, `rollback NUMBER`,
    /// `bundle` or `reinstate FILE`.
    std::vector<std::string> words;
    /// With `apply`: only show the changes that it would make.
    bool dryRun { false };
    /// Endpoints of the store, comma-separated.
    std::string storeAddresses;
};

/// Runs the request with these commands and returns the text for standard output. Fails with `UsageError` when the words are not a
/// valid subcommand with its arguments.
auto runRegisterRequest(const register_request&, register_commands&) -> leaf::result<std::string>;

/// Connects to the store at `storeAddresses` and runs the request there. Fails with `UsageError` when an address is missing or invalid.
auto runRegisterRequest(const register_request&, register_commands::settings) -> leaf::result<std::string>;

} // namespace gypsumhub
