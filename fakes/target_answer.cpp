#include "fakes/target_answer.h"

namespace gypsumhub {

auto makeAnswer(unsigned status, std::string_view requestId, std::string_view target, std::string_view fields) -> std::string
{
    auto body = std::string("from ") + std::string(target);
    return "HTTP/1.1 " + std::to_string(status) + " X\r\nRequest-Id: " + std::string(requestId) + "\r\nUpstream-Signature: " + std::string(target)
        + "\r\n" + std::string(fields) + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

auto endlessBytes(target_behaviour behaviour) -> std::pair<std::string, std::string>
{
    auto begin = std::string("HTTP/1.1 200 X\r\n");
    switch (behaviour) {
    case target_behaviour::EndlessInterim:
        return { "HTTP/1.1 100 X\r\n\r\n", "HTTP/1.1 100 X\r\n\r\n" };
    case target_behaviour::EndlessHead:
        return { begin, "Field: value\r\n" };
    case target_behaviour::EndlessBody:
        return { begin + "Transfer-Encoding: chunked\r\n\r\n", "10000\r\n" + std::string(0x10000, 'x') + "\r\n" };
    case target_behaviour::EndlessChunkHeader:
        return { begin + "Transfer-Encoding: chunked\r\n\r\n1;", std::string(0x10000, 'x') };
    case target_behaviour::EndlessTrailer:
        return { begin + "Transfer-Encoding: chunked\r\n\r\n0\r\nField: ", std::string(0x10000, 'x') };
    default:
        return {};
    }
}

auto brokenBytes(target_behaviour behaviour, const std::string& id) -> std::string
{
    auto head = "HTTP/1.1 200 X\r\nRequest-Id: " + id + "\r\nUpstream-Signature: s\r\n";
    switch (behaviour) {
    case target_behaviour::CutsChunks:
        return head + "Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n";
    case target_behaviour::SpoilsChunk:
        return head + "Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\nzz\r\n";
    case target_behaviour::ResetsUnframed:
        return head + "\r\nhalf";
    case target_behaviour::CutsStatusLine:
        return "HTTP/1.1 20";
    case target_behaviour::CutsField:
        return head + "Content-Len";
    case target_behaviour::CutsHead:
        return head + "Content-Length: 9\r\n";
    default:
        return {};
    }
}

} // namespace gypsumhub
