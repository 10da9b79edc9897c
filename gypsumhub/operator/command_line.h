#pragma once

#include "gypsumhub/core/fault.h"

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace gypsumhub {

/// The words behind the command's name, flags removed. Flags are read from the gflags registry.
using command_arguments = std::vector<std::string>;

/// One command of the program.
struct command_row {
    std::string_view name;
    /// One line for the list of commands.
    std::string_view summary;
    /// The words that may follow the name, as printed in help.
    std::string_view usage;
    /// Least and greatest number of words that may follow the name.
    size_t minArguments { 0 };
    size_t maxArguments { 0 };
    /// Names of the gflags flags that the command accepts.
    std::vector<std::string_view> flags;
    /// Runs the command.
    leaf::result<void> (*run)(const command_arguments&);
};

/// Exit status of the program for each class of result code: 0 ok, 1 internal, 2 usage or settings, 3 configuration,
/// 4 store, 5 node or peer unreachable, 6 trace outcome missed.
auto exitStatus(result_code) -> int;

/// Reads flags into the gflags registry and runs the command named by the first word. `--help` behind a command, and
/// `help` or `--help` alone, print help to standard output; faults go to standard error. Returns the exit status.
auto runCommandLine(std::span<const std::string> words, std::span<const command_row> table) -> int;

} // namespace gypsumhub
