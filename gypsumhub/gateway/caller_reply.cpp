#include "gypsumhub/gateway/caller_reply.h"

#include "gypsumhub/platform/wire_names.h"

#include <algorithm>
#include <array>
#include <cstdio>

namespace gypsumhub {

namespace {

    // A busy slot is not free earlier.
    constexpr auto minRetryAfter = milliseconds(100);
    constexpr auto maxJitter = 0.5;

} // namespace

auto makeReply(unsigned status, std::string_view requestId) -> caller_reply
{
    auto reply = caller_reply(http::int_to_status(status), 11);
    if (!requestId.empty())
        reply.set(wire_names::requestId, requestId);
    return reply;
}

auto makeRefusal(std::string_view requestId, duration retryAfter, random_generator& random, unsigned status) -> caller_reply
{
    auto after = std::max(retryAfter, minRetryAfter).seconds() * (1 + maxJitter * random.unit());
    return makeScheduledRefusal(requestId, { static_cast<int64_t>(after * 1e9) }, status);
}

auto makeScheduledRefusal(std::string_view requestId, duration retryAfter, unsigned status) -> caller_reply
{
    auto reply = makeReply(status, requestId);
    auto after = std::max(retryAfter, minRetryAfter).seconds();
    auto text = std::array<char, 32> {};
    std::snprintf(text.data(), text.size(), "%.2f", after);
    reply.set(http::field::retry_after, text.data());
    return reply;
}

} // namespace gypsumhub
