#include "gypsumhub/core/reload_signal.h"

#include <csignal>
#include <doctest/doctest.h>

using namespace gypsumhub;

namespace {

volatile std::sig_atomic_t reloads = 0;

} // namespace

TEST_CASE("SIGHUP during startup is delivered later and does not end the process")
{
    blockReloadSignal();
    // If the signal were not blocked, its default action would end this program.
    std::raise(SIGHUP);
    auto before = std::signal(SIGHUP, [](int) { reloads = reloads + 1; });
    CHECK(reloads == 0);
    unblockReloadSignal();
    CHECK(reloads == 1);
    std::raise(SIGHUP);
    CHECK(reloads == 2);
    std::signal(SIGHUP, before);
}
