#include "gypsumhub/core/reload_signal.h"
#include "gypsumhub/main/commands.h"
#include "gypsumhub/operator/command_line.h"

#include <csignal>
#include <cstdint>
#include <span>
#include <string>
#include <sys/syscall.h>
#include <unistd.h>
#include <vector>

namespace {

// The loader calls this before the constructors of all libraries, so that only a system call may be used: libraries that replace
// functions of the C library are not set up yet.
auto blockReloadSignalFirst(int, char**, char**) -> void
{
    auto signals = uint64_t { 1 } << (SIGHUP - 1);
    ::syscall(SYS_rt_sigprocmask, SIG_BLOCK, &signals, nullptr, sizeof(signals));
}

[[gnu::section(".preinit_array"), gnu::used]] void (*const blockAtLoad)(int, char**, char**) = blockReloadSignalFirst;

} // namespace

auto main(int argc, char** argv) -> int
{
    gypsumhub::blockReloadSignal();
    auto arguments = std::span(argv, static_cast<size_t>(argc));
    auto commandLine = std::vector<std::string>(arguments.begin() + 1, arguments.end());
    return gypsumhub::runCommandLine(commandLine, gypsumhub::commandTable());
}
