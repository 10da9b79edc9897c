#pragma once

#include "unit_tests/gateway/gateway_fixture.h"

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <linux/sockios.h>
#include <string>
#include <sys/ioctl.h>
#include <vector>

namespace gypsumhub {

/// One request as bytes on the wire.
struct raw_request {
    std::string id;
    std::string method { "GET" };
    std::string path { "/safe/" };
    /// How long the stand-in target takes to run it.
    int delayMs { 0 };
    std::string body;
    /// Further header lines, each with its line end.
    std::string fields;
    int deadlineMs { 5000 };

    auto text() const -> std::string
    {
        auto length = body.empty() ? std::string {} : "Content-Length: " + std::to_string(body.size()) + "\r\n";
        return method + " " + path + " HTTP/1.1\r\nHost: h.example\r\nRequest-Id: " + id + "\r\nDeadline-Ms: " + std::to_string(deadlineMs) + "\r\n"
            + fake_gateway_target::delayField + ": " + std::to_string(delayMs) + "\r\n" + fields + length + "\r\n" + body;
    }
};

/// An answer with the fields that tests of a connection check.
struct raw_answer {
    unsigned status { 0 };
    std::string id;
    bool isClosing { false };
    std::string retryAfter;
    std::string body;
};

/// A caller that sends bytes of its choice on one connection, without waiting for answers.
class raw_caller {
public:
    /// Connects from `localAddress`, or from any address if it is empty.
    explicit raw_caller(const endpoint& node, const std::string& localAddress = {})
        : m_socket(m_context, tcp::v4())
    {
        if (!localAddress.empty())
            m_socket.bind({ asio::ip::make_address(localAddress), 0 });
        m_socket.connect({ asio::ip::make_address(node.address), node.port });
    }

    auto send(const std::string& bytes) -> void
    {
        auto ignored = error_code {};
        asio::write(m_socket, asio::buffer(bytes), ignored);
    }

    /// Bytes that the node has not acknowledged yet. A close reaches it only behind them.
    auto unacknowledgedBytes() -> int
    {
        auto bytes = 0;
        ::ioctl(m_socket.native_handle(), SIOCOUTQ, &bytes);
        return bytes;
    }

    auto close() -> void { m_socket.close(); }

    /// Reads the next answer. Status 0 means that the connection ended first; `endedCleanly` then tells how.
    auto read() -> raw_answer
    {
        auto answer = http::response<http::string_body> {};
        auto error = error_code {};
        http::read(m_socket, m_buffer, answer, error);
        m_endedCleanly = error == http::error::end_of_stream;
        if (error)
            return {};
        return { answer.result_int(), std::string(answer["Request-Id"]), !answer.keep_alive(), std::string(answer[http::field::retry_after]), std::move(answer.body()) };
    }

    auto read(size_t count) -> std::vector<raw_answer>
    {
        auto answers = std::vector<raw_answer> {};
        while (answers.size() < count && (answers.empty() || answers.back().status != 0))
            answers.push_back(read());
        return answers;
    }

    /// Whether the connection ended by an orderly close instead of a reset.
    auto endedCleanly() const -> bool { return m_endedCleanly; }

private:
    asio::io_context m_context;
    tcp::socket m_socket;
    beast::flat_buffer m_buffer;
    bool m_endedCleanly { false };
};

} // namespace gypsumhub
