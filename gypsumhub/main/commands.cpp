#include "gypsumhub/main/commands.h"

#include "gypsumhub/config/gateway_settings_reader.h"
#include "gypsumhub/config/node_settings_reader.h"
#include "gypsumhub/core/clock.h"
#include "gypsumhub/core/forced_end.h"
#include "gypsumhub/core/reload_signal.h"
#include "gypsumhub/gateway/configuration_findings.h"
#include "gypsumhub/gateway/gateway_node.h"
#include "gypsumhub/main/node.h"
#include "gypsumhub/operator/admin_client.h"
#include "gypsumhub/operator/json_log_sink.h"
#include "gypsumhub/operator/register/register_request.h"
#include "gypsumhub/operator/replay/replay.h"
#include "gypsumhub/operator/request_trace.h"

#include <charconv>
#include <chrono>
#include <cstdlib>
#include <gflags/gflags.h>
#include <iostream>
#include <malloc.h>
#include <optional>
#include <thread>

DEFINE_string(node, "", "operator address of a running node, IP:PORT");
DEFINE_string(store, "", "addresses of the store, IP:PORT, comma-separated");
DEFINE_string(author, "", "author of the change, recorded in the history; default is the login name");
DEFINE_string(note, "", "reason for the change, recorded in the history; default is the name of the file");
DEFINE_string(against, "", "file with the configuration in force, to which the document is compared");
DEFINE_bool(json, false, "print one JSON object instead of lines of text");
DEFINE_bool(dry_run, false, "show what would change, without changing anything");

namespace gypsumhub {

namespace {

    constexpr auto programVersion = "0.1.0";
    // The largest fleet, with one log file per node.
    constexpr auto maxLogFiles = size_t { 4096 };
    constexpr auto largeBufferBytes = 256 * 1024;
    // While the settings file is being written it may be empty, cut or missing.
    constexpr auto settingsWaitLimit = seconds(2);
    constexpr auto settingsReadInterval = std::chrono::milliseconds(50);

    auto nodeFromFlag() -> leaf::result<endpoint>
    {
        auto colon = FLAGS_node.rfind(':');
        auto address = endpoint { FLAGS_node.substr(0, colon) };
        auto digits = colon == std::string::npos ? std::string_view {} : std::string_view(FLAGS_node).substr(colon + 1);
        auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), address.port);
        if (error != std::errc {} || end != digits.data() + digits.size())
            return failWith({ result_code::UsageError, "--node: invalid address \"" + FLAGS_node + "\"", {}, 0, "set --node to the node's operator_address as IP:PORT" });
        return address;
    }

    auto printFromNode(std::string_view path) -> leaf::result<void>
    {
        BOOST_LEAF_AUTO(address, nodeFromFlag());
        BOOST_LEAF_AUTO(text, fetchFromNode(address, path));
        std::cout << text;
        return {};
    }

    auto serve(const command_arguments& arguments) -> leaf::result<void>
    {
        BOOST_LEAF_AUTO(settings, readNodeSettings(arguments.front()));
        unblockReloadSignal();
        google::InitGoogleLogging("gypsumhub");
        auto sink = json_log_sink(settings.log);
        auto server = node(std::move(settings));
        return server.run();
    }

    // Reads a file with a fault again for a while, since the platform may be writing it.
    auto readSettingsAtStart(const std::string& file) -> leaf::result<gateway_settings>
    {
        auto until = bootClockNow() + settingsWaitLimit;
        for (;;) {
            auto settings = readGatewaySettings(file);
            if (settings || bootClockNow() >= until)
                return settings;
            std::this_thread::sleep_for(settingsReadInterval);
        }
    }

    auto gateway(const command_arguments& arguments) -> leaf::result<void>
    {
        BOOST_LEAF_AUTO(settings, readSettingsAtStart(arguments.front()));
        // Large buffers return to the system when they are freed. Without a fixed threshold the allocator would keep up to 64 MB.
        ::mallopt(M_MMAP_THRESHOLD, largeBufferBytes);
        auto server = gateway_node(std::move(settings), arguments.front());
        server.setStopHandler(forceEndAt);
        BOOST_LEAF_CHECK(server.run());
        // Freeing the state of a large fleet takes longer than a node with little processor time has until it is killed.
        endProcess();
    }

    auto check(const command_arguments& arguments) -> leaf::result<void>
    {
        if (hasGatewaySection(arguments.front())) {
            BOOST_LEAF_AUTO(found, readGatewaySettings(arguments.front()));
            std::cout << arguments.front() << ": settings of gateway node " << found.name << " are valid\n";
            return {};
        }
        BOOST_LEAF_AUTO(settings, readNodeSettings(arguments.front()));
        std::cout << arguments.front() << ": settings of node " << settings.name << " are valid\n";
        return {};
    }

    auto checkConfigurationDocument(const command_arguments& arguments) -> leaf::result<int>
    {
        auto against = std::optional<std::string> {};
        // An empty name, for example of an unset variable, is a file that cannot be read and not a check without comparison.
        if (!gflags::GetCommandLineFlagInfoOrDie("against").is_default)
            against = FLAGS_against;
        auto findings = checkConfigurationFiles(arguments.front(), against);
        std::cout << (FLAGS_json ? toJson(findings) : toText(findings));
        return exitStatus(findings);
    }

    auto status(const command_arguments&) -> leaf::result<void>
    {
        return printFromNode("/v1/status");
    }

    auto explain(const command_arguments& arguments) -> leaf::result<void>
    {
        return printFromNode("/v1/explain?of=" + arguments.front());
    }

    auto replay(const command_arguments& arguments) -> leaf::result<void>
    {
        return runReplay(arguments.front(), std::cout);
    }

    auto trace(const command_arguments& arguments) -> leaf::result<void>
    {
        BOOST_LEAF_AUTO(text, traceRequestInFiles(arguments.front(), std::span(arguments).subspan(1)));
        std::cout << text;
        return {};
    }

    auto authorName() -> std::string
    {
        if (!FLAGS_author.empty())
            return FLAGS_author;
        auto* user = std::getenv("USER");
        return user ? user : "unknown";
    }

    auto runOnStore(config_document document, command_arguments arguments) -> leaf::result<void>
    {
        auto settings = register_commands::settings { document, authorName(), FLAGS_note };
        auto request = register_request { std::move(arguments), FLAGS_dry_run, FLAGS_store };
        BOOST_LEAF_AUTO(text, runRegisterRequest(request, std::move(settings)));
        std::cout << text;
        return {};
    }

    auto registerCommand(const command_arguments& arguments) -> leaf::result<void>
    {
        return runOnStore(config_document::Register, arguments);
    }

    auto rulesCommand(const command_arguments& arguments) -> leaf::result<void>
    {
        return runOnStore(config_document::Rules, arguments);
    }

    auto history(const command_arguments& arguments) -> leaf::result<void>
    {
        auto historyArguments = command_arguments { "history" };
        historyArguments.insert(historyArguments.end(), arguments.begin(), arguments.end());
        return runOnStore(config_document::Register, std::move(historyArguments));
    }

    auto rollback(const command_arguments& arguments) -> leaf::result<void>
    {
        return runOnStore(config_document::Register, { "rollback", arguments.front() });
    }

    auto version(const command_arguments&) -> leaf::result<void>
    {
        std::cout << "gypsumhub " << programVersion << "\n";
        return {};
    }

    constexpr auto documentUsage = "show | check FILE | diff FILE | apply FILE [--dry-run] | reinstate FILE, with --store=IP:PORT";
    const auto storeFlags = std::vector<std::string_view> { "store", "author", "note", "dry_run" };

    const command_row commands[] = {
        { "serve", "Runs a node until SIGTERM.", "SETTINGS", 1, 1, {}, serve },
        { "gateway", "Runs a gateway node until SIGTERM.", "SETTINGS", 1, 1, {}, gateway },
        { "check", "Checks all settings in a file without starting a node.", "SETTINGS", 1, 1, {}, check },
        { "check-configuration", "Checks a gateway configuration document. Exit status: 0 clean, 1 warnings, 2 errors.", "FILE [--against=FILE] [--json]", 1, 1, { "against", "json" }, nullptr, checkConfigurationDocument },
        { "status", "Prints the state of a running node as JSON.", "--node=IP:PORT", 0, 0, { "node" }, status },
        { "explain", "Prints why each target of a service is in rotation, demoted or ejected.", "SERVICE_OR_VM --node=IP:PORT", 1, 1, { "node" }, explain },
        { "register", "Shows or changes the inventory of VMs, services, nodes, routes and callers in the store.", documentUsage, 1, 2, storeFlags, registerCommand },
        { "rules", "Shows or changes the rules of the services in the store.", documentUsage, 1, 2, storeFlags, rulesCommand },
        { "history", "Lists the most recent revisions, newest first.", "[LIMIT] --store=IP:PORT", 0, 1, { "store" }, history },
        { "rollback", "Creates a new revision with the content of an earlier one.", "NUMBER --store=IP:PORT", 1, 1, storeFlags, rollback },
        { "replay", "Replays a trace through the decision cores and checks the expected outcomes.", "TRACE", 1, 1, {}, replay },
        { "trace", "Prints the history of a request from the logs of gateway nodes.", "ID LOG...", 2, maxLogFiles, {}, trace },
        { "version", "Prints the program's version.", "", 0, 0, {}, version },
    };

} // namespace

auto commandTable() -> std::span<const command_row>
{
    return commands;
}

} // namespace gypsumhub
