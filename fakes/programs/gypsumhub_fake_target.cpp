#include "fakes/fake_target.h"

#include <csignal>
#include <gflags/gflags.h>
#include <iostream>

DEFINE_string(name, "target", "target name in the answers");
DEFINE_string(address, "127.0.0.1", "IP address to listen on");
DEFINE_uint32(port, 0, "TCP port to listen on; 0 selects a free port");
DEFINE_uint32(slots, 4, "concurrency limit; requests beyond it are shed");
DEFINE_double(service_ms, 10, "mean service time in milliseconds");
DEFINE_string(fault, "none", "fault at start: none, slow, errors, wrong, cut, silent, hang, drain, shed, dead-connections");
DEFINE_uint32(seconds, 600, "maximum run time in seconds; the program then exits");
DEFINE_uint64(seed, 1, "seed of the random service times");

auto main(int argc, char** argv) -> int
{
    gflags::SetUsageMessage("a fake target VM; POST /control/fault?kind=NAME sets the fault, GET /control/counts returns the executions");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    auto fault = gypsumhub::fakeFaultFromName(FLAGS_fault);
    if (!fault) {
        std::cerr << "unknown fault " << FLAGS_fault << "\n";
        return 2;
    }
    // Blocked before any thread starts, so that only sigtimedwait below receives them.
    auto signals = sigset_t {};
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);

    auto settings = gypsumhub::fake_target::settings {};
    settings.name = FLAGS_name;
    settings.address = FLAGS_address;
    settings.port = static_cast<uint16_t>(FLAGS_port);
    settings.slots = FLAGS_slots;
    settings.serviceMicroseconds = static_cast<uint32_t>(FLAGS_service_ms * 1000);
    settings.seed = FLAGS_seed;
    auto target = gypsumhub::fake_target(settings);
    target.setFault(*fault);
    std::cout << "listening on " << FLAGS_address << ":" << target.port() << std::endl;

    auto limit = timespec { static_cast<time_t>(FLAGS_seconds), 0 };
    sigtimedwait(&signals, nullptr, &limit);
    return 0;
}
