#include "gypsumhub/proxy/caller_request.h"

#include "gypsumhub/proxy/header_names.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <optional>

namespace gypsumhub {

namespace {

    constexpr auto maxIdLength = size_t { 128 };
    constexpr auto maxKeyLength = size_t { 256 };
    // In Unix milliseconds, in the year 2220; `time_point` overflows in the year 2262.
    constexpr auto latestDeadlineMs = uint64_t { 253'402'300'799'000 / 32 };

    template <typename Number>
    auto parseNumber(std::string_view text, int base = 10) -> std::optional<Number>
    {
        auto value = Number { 0 };
        auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value, base);
        if (error != std::errc {} || end != text.data() + text.size())
            return std::nullopt;
        return value;
    }

    auto makeRequestId(random_generator& random) -> std::string
    {
        constexpr auto digits = "0123456789abcdef";
        auto id = std::string {};
        id.reserve(32);
        for (auto word : { random(), random() })
            for (auto shift = 60; shift >= 0; shift -= 4)
                id += digits[(word >> shift) & 15];
        return id;
    }

    auto readDeadline(caller_request& request) -> result_code
    {
        auto found = request.message.find(header_names::deadline);
        if (found == request.message.end())
            return result_code::Ok;
        auto unixMs = parseNumber<uint64_t>(found->value());
        if (!unixMs || *unixMs > latestDeadlineMs)
            return result_code::DeadlineInvalid;
        request.deadline = { static_cast<int64_t>(*unixMs) * 1'000'000 };
        return result_code::Ok;
    }

    auto decodePercent(std::string_view text) -> std::string
    {
        auto decoded = std::string {};
        for (auto index = size_t { 0 }; index < text.size(); ++index) {
            auto byte = text[index] == '%' && index + 2 < text.size() ? parseNumber<uint8_t>(text.substr(index + 1, 2), 16) : std::nullopt;
            if (byte)
                index += 2;
            decoded += byte ? static_cast<char>(*byte) : text[index];
        }
        return decoded;
    }

} // namespace

auto readGypsumhubFields(caller_request& request, random_generator& random) -> result_code
{
    auto& message = request.message;
    if (auto code = readDeadline(request); code != result_code::Ok)
        return code;
    request.id = message[header_names::requestId];
    if (request.id.empty())
        request.id = makeRequestId(random);
    request.idempotencyKey = message[header_names::idempotencyKey];
    if (request.id.size() > maxIdLength || request.idempotencyKey.size() > maxKeyLength)
        return result_code::MalformedRequest;
    if (auto attempt = message.find(header_names::attempt); attempt != message.end()) {
        auto number = parseNumber<uint32_t>(attempt->value());
        if (!number || *number == 0)
            return result_code::MalformedRequest;
        request.attempt = *number;
    }
    request.forwarded = message.count(header_names::hop) > 0;
    request.traceparent = message[header_names::traceparent];
    return result_code::Ok;
}

auto pathOf(std::string_view target) -> std::string_view
{
    return target.substr(0, target.find('?'));
}

auto queryParameter(std::string_view target, std::string_view name) -> std::string
{
    auto query = target.find('?');
    auto rest = query == std::string_view::npos ? std::string_view {} : target.substr(query + 1);
    while (!rest.empty()) {
        auto end = std::min(rest.find('&'), rest.size());
        auto pair = rest.substr(0, end);
        rest.remove_prefix(std::min(end + 1, rest.size()));
        auto equals = std::min(pair.find('='), pair.size());
        if (pair.substr(0, equals) == name)
            return decodePercent(pair.substr(std::min(equals + 1, pair.size())));
    }
    return {};
}

} // namespace gypsumhub
