#include "gypsumhub/proxy/request_head_check.h"

#include "gypsumhub/proxy/header_names.h"

#include <algorithm>

namespace gypsumhub {

namespace {

    // Fields that control how the request is handled; if one occurred twice, it would be ambiguous which value applies.
    constexpr auto singleFields = std::to_array<std::string_view>({
        header_names::deadline,
        header_names::requestId,
        header_names::idempotencyKey,
        header_names::attempt,
        header_names::hop,
        header_names::caller,
        header_names::traceparent,
        "Host",
    });

    auto isForbiddenControl(unsigned char byte) -> bool
    {
        return (byte < 0x20 && byte != '\t') || byte == 0x7f;
    }

    auto checkLength(const http::request_header<>& head) -> result_code
    {
        auto lengths = head.count(http::field::content_length);
        auto codings = head.count(http::field::transfer_encoding);
        if (lengths > 1 || codings > 1 || (lengths == 1 && codings == 1))
            return result_code::AmbiguousFraming;
        if (codings == 1 && !beast::iequals(head[http::field::transfer_encoding], "chunked"))
            return result_code::AmbiguousFraming;
        // HTTP/1.0 has no chunked coding, so an HTTP/1.0 intermediary would read another length.
        if (codings == 1 && head.version() < 11)
            return result_code::AmbiguousFraming;
        auto length = head[http::field::content_length];
        if (!std::ranges::all_of(length, [](char digit) { return digit >= '0' && digit <= '9'; }))
            return result_code::AmbiguousFraming;
        return result_code::Ok;
    }

    auto isMethodAllowed(std::string_view method) -> bool
    {
        // Methods are case-sensitive, but a lenient target could run "post" as POST.
        auto isCapital = [](char letter) { return (letter >= 'A' && letter <= 'Z') || letter == '-'; };
        return !method.empty() && std::ranges::all_of(method, isCapital) && method != "CONNECT" && method != "TRACE";
    }

    auto isTargetAllowed(std::string_view target) -> bool
    {
        auto isPlain = [](char byte) { return byte > 0x20 && byte < 0x7f && byte != '#'; };
        return target.starts_with('/') && std::ranges::all_of(target, isPlain);
    }

} // namespace

auto checkHeadBytes(std::string_view head) -> result_code
{
    auto complete = head.ends_with("\r\n\r\n");
    for (auto index = size_t { 0 }; index < head.size(); ++index) {
        auto byte = head[index];
        if (byte == '\r') {
            // The LF after a CR at the end may not have arrived yet.
            if (index + 1 < head.size() && head[index + 1] != '\n')
                return result_code::MalformedRequest;
            if (index + 1 == head.size())
                return complete ? result_code::MalformedRequest : result_code::Ok;
            ++index;
            // A line that starts with white space continues the previous line (obsolete line folding).
            auto isFolded = index + 1 < head.size() && (head[index + 1] == ' ' || head[index + 1] == '\t');
            if (isFolded || index == 1)
                return result_code::MalformedRequest;
            continue;
        }
        if (isForbiddenControl(static_cast<unsigned char>(byte)))
            return result_code::MalformedRequest;
    }
    return result_code::Ok;
}

auto checkHeadFields(const http::request_header<>& head) -> result_code
{
    if (head.version() != 11 && head.version() != 10)
        return result_code::MalformedRequest;
    if (auto code = checkLength(head); code != result_code::Ok)
        return code;
    if (!isMethodAllowed(head.method_string()) || !isTargetAllowed(head.target()))
        return result_code::MalformedRequest;
    if (head.version() == 11 && head.count(http::field::host) != 1)
        return result_code::MalformedRequest;
    auto isRepeated = [&](std::string_view name) { return head.count(name) > 1; };
    if (std::ranges::any_of(singleFields, isRepeated))
        return result_code::MalformedRequest;
    return result_code::Ok;
}

} // namespace gypsumhub
