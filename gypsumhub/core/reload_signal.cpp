#include "gypsumhub/core/reload_signal.h"

#include <csignal>

namespace gypsumhub {

namespace {

    auto reloadSignal() -> sigset_t
    {
        auto signals = sigset_t {};
        sigemptyset(&signals);
        sigaddset(&signals, SIGHUP);
        return signals;
    }

} // namespace

auto blockReloadSignal() -> void
{
    auto signals = reloadSignal();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

auto unblockReloadSignal() -> void
{
    auto signals = reloadSignal();
    pthread_sigmask(SIG_UNBLOCK, &signals, nullptr);
}

} // namespace gypsumhub
