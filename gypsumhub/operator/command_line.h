#pragma once

#include "gypsumhub/core/fault.h"

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace gypsumhub {

/// Positional arguments after the name of the command. Commands read flags from the gflags registry.
using command_arguments = std::vector<std::string>;

/// One command of the program: help texts, accepted arguments and flags, and the function that runs it.
struct command_row {
    std::string_view name;
    /// One line for the list of commands.
    std::string_view summary;
    /// Arguments that may follow the name, as printed in help.
    std::string_view usage;
    /// Smallest and largest number of positional arguments.
    size_t minArguments { 0 };
    size_t maxArguments { 0 };
    /// Names of the gflags flags that the command accepts.
    std::vector<std::string_view> flags;
    /// Runs the command; faults go to standard error and determine the exit status.
    leaf::result<void> (*run)(const command_arguments&);
    /// Used instead of `run` by a command whose exit status is part of its result.
    leaf::result<int> (*runForStatus)(const command_arguments&) { nullptr };
};

/// Exit status of the program for each class of result code: 0 ok, 1 internal, 2 usage or settings, 3 configuration,
/// 4 store, 5 node or peer unreachable, 6 trace outcome missed.
auto exitStatus(result_code) -> int;

/// Stores flags in the gflags registry and runs the command that the first word names. `--help` after a command, and `help` or
/// `--help` alone, print help to standard output. Faults go to standard error. Returns the exit status.
auto runCommandLine(std::span<const std::string> words, std::span<const command_row> table) -> int;

} // namespace gypsumhub
