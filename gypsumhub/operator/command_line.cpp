#include "gypsumhub/operator/command_line.h"

#include <algorithm>
#include <gflags/gflags.h>
#include <iostream>

namespace gypsumhub {

namespace {

    /// Exit status for a range of result codes.
    struct exit_status_row {
        uint16_t firstCode;
        uint16_t lastCode;
        int status;
    };

    constexpr exit_status_row exitStatusTable[] = {
        { 0, 0, 0 },
        { 500, 599, 3 },
        { 600, 699, 4 },
        { 700, 799, 5 },
        { 800, 804, 2 },
        { 805, 805, 6 },
    };

    auto usageError(std::string message, std::string hint) -> leaf::error_id
    {
        return failWith({ result_code::UsageError, std::move(message), {}, 0, std::move(hint) });
    }

    auto printOverview(std::span<const command_row> table) -> void
    {
        std::cout << "gypsumhub: a proxy fleet for targets with gray failures\n\nusage: gypsumhub COMMAND [ARGUMENT...] [--flag=value...]\n\n";
        for (auto& row : table) {
            auto name = std::string(row.name);
            name.resize(std::max<size_t>(name.size(), 10), ' ');
            std::cout << "  " << name << " " << row.summary << "\n";
        }
        std::cout << "\n`gypsumhub COMMAND --help` describes a command. Exit status: 0 ok, 1 internal, 2 usage or settings,\n"
                     "3 configuration, 4 store, 5 node or peer unreachable, 6 trace outcome missed.\n";
    }

    auto printHelp(const command_row& row) -> void
    {
        std::cout << "usage: gypsumhub " << row.name << " " << row.usage << "\n\n"
                  << row.summary << "\n";
        for (auto name : row.flags) {
            auto info = gflags::GetCommandLineFlagInfoOrDie(std::string(name).c_str());
            std::cout << "  --" << name << "  " << info.description << " (default: \"" << info.default_value << "\")\n";
        }
    }

    auto isHelp(std::string_view word) -> bool
    {
        return word == "--help" || word == "-h" || word == "-help";
    }

    // Sets one flag from `--name=value`, `--name value` or, for booleans, `--name`. Advances `index` over a separate value.
    auto parseFlag(const command_row& row, std::span<const std::string> words, size_t& index) -> leaf::result<void>
    {
        auto word = std::string_view(words[index]);
        word.remove_prefix(std::min(word.find_first_not_of('-'), word.size()));
        auto equals = word.find('=');
        auto name = std::string(word.substr(0, equals));
        std::ranges::replace(name, '-', '_');
        if (std::ranges::find(row.flags, name) == row.flags.end())
            return usageError("unknown flag --" + name, "see `gypsumhub " + std::string(row.name) + " --help`");
        auto info = gflags::GetCommandLineFlagInfoOrDie(name.c_str());
        auto value = std::string {};
        if (equals != std::string_view::npos)
            value = word.substr(equals + 1);
        else if (info.type == "bool")
            value = "true";
        else if (index + 1 < words.size())
            value = words[++index];
        else
            return usageError("flag --" + name + " has no value", "write --" + name + "=VALUE");
        if (gflags::SetCommandLineOption(name.c_str(), value.c_str()).empty())
            return usageError("flag --" + name + " does not accept \"" + value + "\"", "give a value of type " + info.type);
        return {};
    }

    auto parseArguments(const command_row& row, std::span<const std::string> words) -> leaf::result<command_arguments>
    {
        auto arguments = command_arguments {};
        for (auto index = size_t { 0 }; index < words.size(); ++index) {
            if (words[index].starts_with("--"))
                BOOST_LEAF_CHECK(parseFlag(row, words, index));
            else
                arguments.push_back(words[index]);
        }
        if (arguments.size() < row.minArguments || arguments.size() > row.maxArguments)
            return usageError("wrong number of arguments", "usage: gypsumhub " + std::string(row.name) + " " + std::string(row.usage));
        return arguments;
    }

    auto runRow(const command_row& row, std::span<const std::string> words) -> leaf::result<int>
    {
        BOOST_LEAF_AUTO(arguments, parseArguments(row, words));
        if (row.runForStatus)
            return row.runForStatus(arguments);
        BOOST_LEAF_CHECK(row.run(arguments));
        return 0;
    }

    auto reportFaults(const fault_list& list) -> int
    {
        for (auto& entry : list.faults)
            std::cerr << toString(entry) << "\n";
        return list.faults.empty() ? 1 : exitStatus(list.faults.front().code);
    }

} // namespace

auto exitStatus(result_code code) -> int
{
    auto number = static_cast<uint16_t>(code);
    for (auto& row : exitStatusTable) {
        if (number >= row.firstCode && number <= row.lastCode)
            return row.status;
    }
    return 1;
}

auto runCommandLine(std::span<const std::string> words, std::span<const command_row> table) -> int
{
    if (words.empty() || isHelp(words.front()) || words.front() == "help") {
        printOverview(table);
        return words.empty() ? exitStatus(result_code::UsageError) : 0;
    }
    auto row = std::ranges::find(table, words.front(), &command_row::name);
    if (row == table.end()) {
        auto unknown = fault { result_code::UsageError, "unknown command \"" + words.front() + "\"", {}, 0, "see `gypsumhub --help`" };
        std::cerr << toString(unknown) << "\n";
        return exitStatus(result_code::UsageError);
    }
    auto rest = words.subspan(1);
    if (std::ranges::any_of(rest, isHelp)) {
        printHelp(*row);
        return 0;
    }
    return leaf::try_handle_all(
        [&] { return runRow(*row, rest); },
        [](const fault_list& list) { return reportFaults(list); },
        [] {
            std::cerr << "the command failed with an unknown error\n";
            return 1;
        });
}

} // namespace gypsumhub
