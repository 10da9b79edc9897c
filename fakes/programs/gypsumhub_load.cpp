#include "fakes/load_caller.h"

#include <charconv>
#include <gflags/gflags.h>
#include <iostream>

DEFINE_string(nodes, "", "nodes that are queried for addresses, IP:PORT separated by commas");
DEFINE_string(targets, "", "fake targets whose counts are checked at the end, IP:PORT separated by commas");
DEFINE_string(service, "", "name of the service");
DEFINE_string(path, "/", "path of the requests");
DEFINE_uint32(rate, 100, "requests per second");
DEFINE_uint32(seconds, 5, "duration of the load in seconds, at most 600");
DEFINE_uint32(non_idempotent_percent, 30, "percentage of POST requests, which have an idempotency key");
DEFINE_uint32(deadline_ms, 2000, "deadline of each request in milliseconds");
DEFINE_uint32(attempts, 3, "maximum number of attempts per request");
DEFINE_uint64(seed, 1, "seed of the random request mix");

namespace gypsumhub {

namespace {

    constexpr auto maxSeconds = uint32_t { 600 };
    constexpr auto maxRate = uint32_t { 20000 };

    auto parseEndpoints(std::string_view text) -> std::optional<std::vector<endpoint>>
    {
        auto endpoints = std::vector<endpoint> {};
        while (!text.empty()) {
            auto item = text.substr(0, text.find(','));
            text.remove_prefix(std::min(item.size() + 1, text.size()));
            auto colon = item.rfind(':');
            auto port = uint16_t { 0 };
            if (colon == std::string_view::npos)
                return std::nullopt;
            if (std::from_chars(item.data() + colon + 1, item.data() + item.size(), port).ec != std::errc {})
                return std::nullopt;
            endpoints.push_back({ std::string(item.substr(0, colon)), port });
        }
        return endpoints;
    }

} // namespace

} // namespace gypsumhub

auto main(int argc, char** argv) -> int
{
    gflags::SetUsageMessage("sends a mixed load to a service through its nodes and checks the guarantees; exit code 1 if one is violated");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    auto nodes = gypsumhub::parseEndpoints(FLAGS_nodes);
    auto targets = gypsumhub::parseEndpoints(FLAGS_targets);
    auto isBounded = FLAGS_seconds <= gypsumhub::maxSeconds && FLAGS_rate > 0 && FLAGS_rate <= gypsumhub::maxRate;
    if (!nodes || nodes->empty() || !targets || FLAGS_service.empty() || !isBounded) {
        std::cerr << "usage: gypsumhub_load --nodes=IP:PORT,... --service=NAME [--targets=IP:PORT,...] [--rate=N] [--seconds=N]\n";
        return 2;
    }
    auto settings = gypsumhub::load_caller::settings {};
    settings.nodes = *nodes;
    settings.targets = *targets;
    settings.service = FLAGS_service;
    settings.path = FLAGS_path;
    settings.requestsPerSecond = FLAGS_rate;
    settings.seconds = FLAGS_seconds;
    settings.nonIdempotentPercent = FLAGS_non_idempotent_percent;
    settings.deadlineMs = FLAGS_deadline_ms;
    settings.maxAttempts = FLAGS_attempts;
    settings.seed = FLAGS_seed;
    auto caller = gypsumhub::load_caller(settings);
    auto report = caller.run();
    report.print(std::cout);
    return report.violatedGuarantees() == 0 ? 0 : 1;
}
