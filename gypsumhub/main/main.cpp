#include "gypsumhub/core/reload_signal.h"
#include "gypsumhub/main/commands.h"
#include "gypsumhub/operator/command_line.h"

#include <span>
#include <string>
#include <vector>

auto main(int argc, char** argv) -> int
{
    gypsumhub::blockReloadSignal();
    auto arguments = std::span(argv, static_cast<size_t>(argc));
    auto words = std::vector<std::string>(arguments.begin() + 1, arguments.end());
    return gypsumhub::runCommandLine(words, gypsumhub::commandTable());
}
