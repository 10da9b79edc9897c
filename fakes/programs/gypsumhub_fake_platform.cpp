#include "fakes/fake_store_server.h"
#include "fakes/fake_vm_list_server.h"
#include "gypsumhub/config/ini_document.h"

#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdio>
#include <gflags/gflags.h>

DEFINE_string(address, "127.0.0.1", "Loopback address to listen on.");
DEFINE_int32(store_port, 2379, "Port of the store; 0 selects a free port.");
DEFINE_int32(list_port, 2380, "Port of the VM list; 0 selects a free port.");
DEFINE_int32(run_seconds, 60, "Maximum run time in seconds; the program then exits.");
DEFINE_string(vms_of, "", "Register file whose VMs are initially live.");

namespace gypsumhub {

namespace {

    auto listVms(const std::string& path, fake_vm_list& list) -> leaf::result<void>
    {
        BOOST_LEAF_AUTO(document, readIni(path, result_code::ConfigurationInvalid));
        for (auto& section : document.sections) {
            if (section.kind == "vm")
                list.change(section.name, listed_vm_state::Live);
        }
        return {};
    }

    auto run() -> int
    {
        auto context = boost::asio::io_context(1);
        auto storeServer = fake_store_server(context, FLAGS_address, static_cast<uint16_t>(FLAGS_store_port));
        auto listServer = fake_vm_list_server(context, FLAGS_address, static_cast<uint16_t>(FLAGS_list_port));
        if (!FLAGS_vms_of.empty() && !listVms(FLAGS_vms_of, listServer.list())) {
            std::fprintf(stderr, "cannot read %s\n", FLAGS_vms_of.c_str());
            return 1;
        }
        // Bounds the run time, so that an abandoned process does not keep running.
        auto limit = boost::asio::steady_timer(context, std::chrono::seconds(FLAGS_run_seconds));
        limit.async_wait([&](auto) { context.stop(); });
        auto signals = boost::asio::signal_set(context, SIGINT, SIGTERM);
        signals.async_wait([&](auto, auto) { context.stop(); });
        std::printf("store %s:%u\nlist %s:%u\n", FLAGS_address.c_str(), storeServer.port(), FLAGS_address.c_str(), listServer.port());
        std::fflush(stdout);
        context.run();
        return 0;
    }

} // namespace

} // namespace gypsumhub

auto main(int argc, char** argv) -> int
{
    gflags::SetUsageMessage("In-memory fakes of the platform on loopback: a key-value store and a VM list.");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    return gypsumhub::run();
}
