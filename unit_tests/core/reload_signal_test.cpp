#include "gypsumhub/core/reload_signal.h"

#include <csignal>
#include <doctest/doctest.h>

using namespace gypsumhub;

namespace {

volatile std::sig_atomic_t reloads = 0;

} // namespace

TEST_CASE("a reload that is asked for while the program starts neither ends it nor is lost")
{
    blockReloadSignal();
    // Without the hold the default action would end this program.
    std::raise(SIGHUP);
    auto before = std::signal(SIGHUP, [](int) { reloads = reloads + 1; });
    CHECK(reloads == 0);
    unblockReloadSignal();
    CHECK(reloads == 1);
    std::raise(SIGHUP);
    CHECK(reloads == 2);
    std::signal(SIGHUP, before);
}
