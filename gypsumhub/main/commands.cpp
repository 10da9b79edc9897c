#include "gypsumhub/main/commands.h"

#include "gypsumhub/config/node_settings_reader.h"
#include "gypsumhub/main/node.h"
#include "gypsumhub/operator/admin_client.h"
#include "gypsumhub/operator/json_log_sink.h"

#include <charconv>
#include <gflags/gflags.h>
#include <iostream>

DEFINE_string(node, "", "operator address of a running node, IP:PORT");

namespace gypsumhub {

namespace {

    constexpr auto programVersion = "0.1.0";

    auto nodeFromFlag() -> leaf::result<endpoint>
    {
        auto colon = FLAGS_node.rfind(':');
        auto address = endpoint { FLAGS_node.substr(0, colon) };
        auto digits = colon == std::string::npos ? std::string_view {} : std::string_view(FLAGS_node).substr(colon + 1);
        auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), address.port);
        if (error != std::errc {} || end != digits.data() + digits.size())
            return failWith({ result_code::UsageError, "--node is \"" + FLAGS_node + "\"", {}, 0, "give the node's operator_address as IP:PORT" });
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
        google::InitGoogleLogging("gypsumhub");
        auto sink = json_log_sink(settings.log);
        auto server = node(std::move(settings));
        return server.run();
    }

    auto check(const command_arguments& arguments) -> leaf::result<void>
    {
        BOOST_LEAF_AUTO(settings, readNodeSettings(arguments.front()));
        std::cout << arguments.front() << ": settings of node " << settings.name << " are valid\n";
        return {};
    }

    auto status(const command_arguments&) -> leaf::result<void>
    {
        return printFromNode("/v1/status");
    }

    auto explain(const command_arguments& arguments) -> leaf::result<void>
    {
        return printFromNode("/v1/explain?of=" + arguments.front());
    }

    auto version(const command_arguments&) -> leaf::result<void>
    {
        std::cout << "gypsumhub " << programVersion << "\n";
        return {};
    }

    const command_row commands[] = {
        { "serve", "Runs a node until SIGTERM.", "SETTINGS", 1, 1, {}, serve },
        { "check", "Checks a settings file whole, without starting anything.", "SETTINGS", 1, 1, {}, check },
        { "status", "Prints the state of a running node as JSON.", "--node=IP:PORT", 0, 0, { "node" }, status },
        { "explain", "Prints why each target of a service is in, demoted or out.", "SERVICE_OR_VM --node=IP:PORT", 1, 1, { "node" }, explain },
        { "version", "Prints the program's version.", "", 0, 0, {}, version },
    };

}

auto commandTable() -> std::span<const command_row>
{
    return commands;
}

}
