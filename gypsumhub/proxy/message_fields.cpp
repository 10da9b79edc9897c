#include "gypsumhub/proxy/message_fields.h"

#include "gypsumhub/proxy/header_names.h"

#include <boost/beast/http/rfc7230.hpp>
#include <string>
#include <vector>

namespace gypsumhub {

namespace {

    constexpr auto connectionFields = std::to_array<std::string_view>({
        "Connection",
        "Keep-Alive",
        "Proxy-Connection",
        "Proxy-Authenticate",
        "Proxy-Authorization",
        "TE",
        "Trailer",
        "Transfer-Encoding",
        "Upgrade",
        "Expect",
        "Content-Length",
    });

    constexpr auto gypsumhubFields = std::to_array<std::string_view>({
        header_names::deadline,
        header_names::requestId,
        header_names::attempt,
        header_names::outcome,
        header_names::result,
        header_names::declined,
        header_names::hop,
    });

} // namespace

auto removeHopByHopFields(http::fields& fields) -> void
{
    // The names are copied first, because erasing fields invalidates the token list.
    auto named = std::vector<std::string> {};
    for (auto token : http::token_list(fields[http::field::connection]))
        named.emplace_back(token);
    for (auto& name : named)
        fields.erase(name);
    for (auto name : connectionFields)
        fields.erase(name);
}

auto removeConnectionFields(http::fields& fields) -> void
{
    removeHopByHopFields(fields);
    for (auto name : gypsumhubFields)
        fields.erase(name);
}

auto makeOutboundHead(const caller_request& request, bool hop) -> http::request_header<>
{
    auto head = http::request_header<>(request.message.base());
    head.version(11);
    removeConnectionFields(head);
    auto& body = request.message.body();
    auto carriesBody = !body.empty() || request.message.has_content_length() || request.message.chunked();
    if (carriesBody)
        head.set(http::field::content_length, std::to_string(body.size()));
    head.set(header_names::requestId, request.id);
    head.set(header_names::deadline, std::to_string(request.deadline.ns / 1'000'000));
    if (request.attempt > 0)
        head.set(header_names::attempt, std::to_string(request.attempt));
    // Set again in case the caller's `Connection` field named the key and so removed it; the target must receive it.
    if (!request.idempotencyKey.empty())
        head.set(header_names::idempotencyKey, request.idempotencyKey);
    if (hop)
        head.set(header_names::hop, "1");
    return head;
}

auto setTraceparent(http::fields& fields, const request_span& span, const caller_request& request) -> void
{
    auto own = span.traceparent();
    auto& sent = own.empty() ? request.traceparent : own;
    if (!sent.empty())
        fields.set(header_names::traceparent, sent);
}

auto formatAddress(const endpoint& address) -> std::string
{
    // IPv6 addresses contain colons.
    auto isV6 = address.address.find(':') != std::string::npos;
    auto host = isV6 ? "[" + address.address + "]" : address.address;
    return host + ":" + std::to_string(address.port);
}

} // namespace gypsumhub
