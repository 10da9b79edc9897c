#include "gypsumhub/gateway/request_identity.h"

#include "gypsumhub/core/hash.h"
#include "gypsumhub/gateway/request_target.h"

#include <array>
#include <cstdio>
#include <span>

namespace gypsumhub {

namespace {

    constexpr auto highSeed = uint64_t { 0x6a09e667f3bcc908 };
    constexpr auto lowSeed = uint64_t { 0xbb67ae8584caa73b };

    auto hashFields(std::span<const std::string_view> fields, uint64_t seed) -> uint64_t
    {
        // Each hash is the seed of the next field, so that bytes cannot move from one field to another unnoticed.
        auto hash = seed;
        for (auto field : fields)
            hash = hashBytes(std::as_bytes(std::span(field)), hash);
        return hash;
    }

} // namespace

auto identityOf(const inbound_message& request, std::string_view callerAddress) -> request_identity
{
    auto method = request.method_string();
    auto host = hostOf(request[http::field::host]);
    auto target = request.target();
    auto credentials = request[http::field::authorization];
    auto fields = std::to_array<std::string_view>({ host, { method.data(), method.size() }, { target.data(), target.size() }, { credentials.data(), credentials.size() }, request.body() });
    auto ofAnyCaller = request_fingerprint { hashFields(fields, highSeed), hashFields(fields, lowSeed) | 1 };
    // The lowest bit of `low` tells the two apart.
    auto address = std::span(&callerAddress, 1);
    return { { hashFields(address, ofAnyCaller.high), hashFields(address, ofAnyCaller.low) & ~uint64_t { 1 } }, ofAnyCaller };
}

auto toString(const request_fingerprint& fingerprint) -> std::string
{
    auto text = std::array<char, 33> {};
    std::snprintf(text.data(), text.size(), "%016lx%016lx", fingerprint.high, fingerprint.low);
    return text.data();
}

} // namespace gypsumhub
