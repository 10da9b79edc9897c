#include "gypsumhub/operator/register/register_request.h"

#include "gypsumhub/config/section_reader.h"
#include "gypsumhub/store/etcd_store.h"
#include "gypsumhub/store/pacing_store.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

namespace gypsumhub {

namespace {

    constexpr auto defaultHistoryLimit = uint32_t { 20 };
    /// Large enough for a tool that loads the whole configuration chunk by chunk.
    constexpr auto toolCallBudget = call_budget::settings { 200, 200 };
    constexpr auto usage = "write show | check FILE | diff FILE | apply FILE [--dry-run] | history [LIMIT] | rollback NUMBER | bundle | reinstate FILE";

    auto usageError(std::string message) -> leaf::error_id
    {
        return failWith({ result_code::UsageError, std::move(message), {}, 0, usage });
    }

    auto readCount(const std::string& text) -> leaf::result<uint64_t>
    {
        auto value = uint64_t { 0 };
        auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
        if (error != std::errc {} || end != text.data() + text.size() || value == 0)
            return usageError("'" + text + "' is not a positive number");
        return value;
    }

    auto show(register_commands& commands, const register_request&) -> leaf::result<std::string>
    {
        return commands.show();
    }

    auto check(register_commands& commands, const register_request& request) -> leaf::result<std::string>
    {
        return commands.check(request.words[1]);
    }

    auto diff(register_commands& commands, const register_request& request) -> leaf::result<std::string>
    {
        return commands.diff(request.words[1]);
    }

    auto apply(register_commands& commands, const register_request& request) -> leaf::result<std::string>
    {
        return request.dryRun ? commands.diff(request.words[1]) : commands.apply(request.words[1]);
    }

    auto history(register_commands& commands, const register_request& request) -> leaf::result<std::string>
    {
        auto limit = uint64_t { defaultHistoryLimit };
        if (request.words.size() > 1) {
            BOOST_LEAF_ASSIGN(limit, readCount(request.words[1]));
        }
        return commands.history(static_cast<uint32_t>(std::min<uint64_t>(limit, UINT32_MAX)));
    }

    auto rollBack(register_commands& commands, const register_request& request) -> leaf::result<std::string>
    {
        BOOST_LEAF_AUTO(number, readCount(request.words[1]));
        return commands.rollBack(number);
    }

    auto bundle(register_commands& commands, const register_request&) -> leaf::result<std::string>
    {
        return commands.bundle();
    }

    auto reinstate(register_commands& commands, const register_request& request) -> leaf::result<std::string>
    {
        return commands.reinstate(request.words[1]);
    }

    /// One subcommand, the permitted number of words including its name, and its function.
    struct subcommand_row {
        std::string_view name;
        size_t minWords;
        size_t maxWords;
        leaf::result<std::string> (*run)(register_commands&, const register_request&);
    };

    constexpr auto subcommandTable = std::to_array<subcommand_row>({
        { "show", 1, 1, show },
        { "check", 2, 2, check },
        { "diff", 2, 2, diff },
        { "apply", 2, 2, apply },
        { "history", 1, 2, history },
        { "rollback", 2, 2, rollBack },
        { "bundle", 1, 1, bundle },
        { "reinstate", 2, 2, reinstate },
    });

} // namespace

auto runRegisterRequest(const register_request& request, register_commands& commands) -> leaf::result<std::string>
{
    if (request.words.empty())
        return usageError("the subcommand is missing");
    auto row = std::ranges::find(subcommandTable, request.words.front(), &subcommand_row::name);
    if (row == subcommandTable.end())
        return usageError("'" + request.words.front() + "' is not a subcommand");
    if (request.words.size() < row->minWords || request.words.size() > row->maxWords)
        return usageError("'" + request.words.front() + "' has too few or too many arguments");
    return row->run(commands, request);
}

auto runRegisterRequest(const register_request& request, register_commands::settings options) -> leaf::result<std::string>
{
    auto storeSettings = etcd_store::settings {};
    for (auto& part : splitList(request.storeAddresses)) {
        auto address = parseEndpoint(part);
        if (!address)
            return failWith({ result_code::UsageError, "'" + part + "' is not a store address", {}, 0, "write --store=IP:PORT[,IP:PORT]" });
        storeSettings.endpoints.push_back(*address);
    }
    if (storeSettings.endpoints.empty())
        return failWith({ result_code::UsageError, "no store address is given", {}, 0, "write --store=IP:PORT[,IP:PORT]" });
    storeSettings.budget = toolCallBudget;
    auto remote = etcd_store(std::move(storeSettings));
    auto paced = pacing_store(remote, systemStoreClock());
    auto commands = register_commands(paced, std::move(options), systemStoreClock());
    return runRegisterRequest(request, commands);
}

} // namespace gypsumhub
