#pragma once

#include "unit_tests/gateway/raw_caller.h"

#include <boost/asio/read.hpp>
#include <chrono>

namespace gypsumhub {

/// What a caller has received on its connection until its end.
struct received_bytes {
    /// Status and length of the body of each whole answer, in order.
    std::vector<std::pair<unsigned, size_t>> answers;
    /// Nothing is left behind the last whole answer.
    bool isWhole { false };
    bool endedCleanly { false };
};

/// A caller with a small receive buffer that writes in pieces, and reads slowly or only when it has written everything.
class slow_caller {
public:
    explicit slow_caller(const endpoint& node, int receiveBufferBytes = 4'096)
    {
        m_socket.open(tcp::v4());
        m_socket.set_option(asio::socket_base::receive_buffer_size(receiveBufferBytes));
        m_socket.connect({ asio::ip::make_address(node.address), node.port });
    }

    /// Returns whether the connection took all bytes.
    auto send(const std::string& bytes) -> bool
    {
        auto error = error_code {};
        asio::write(m_socket, asio::buffer(bytes), error);
        return !error;
    }

    auto closeSending() -> void
    {
        auto ignored = error_code {};
        m_socket.shutdown(tcp::socket::shutdown_send, ignored);
    }

    /// Sends the bytes in pieces of equal length, one in each interval, the first after one interval. Returns whether the connection took
    /// all of them. A piece that is late on a busy machine does not delay those behind it.
    auto sendInPieces(const std::string& bytes, size_t pieces, std::chrono::microseconds interval) -> bool
    {
        auto isTaken = true;
        auto length = (bytes.size() + pieces - 1) / pieces;
        auto sendsAt = std::chrono::steady_clock::now();
        for (auto first = size_t { 0 }; first < bytes.size() && isTaken; first += length) {
            sendsAt += interval;
            std::this_thread::sleep_until(sendsAt);
            isTaken = send(bytes.substr(first, length));
        }
        return isTaken;
    }

    /// Reads until the connection ends, with a pause before each piece.
    auto readToEnd(size_t pieceBytes = 64 * 1024, std::chrono::milliseconds pause = {}) -> received_bytes
    {
        auto error = error_code {};
        while (!error)
            readPiece(pieceBytes, pause, error);
        auto received = parse();
        received.endedCleanly = error == asio::error::eof;
        return received;
    }

    /// Reads pieces for a time.
    auto readFor(std::chrono::milliseconds time, size_t pieceBytes, std::chrono::milliseconds pause) -> void
    {
        auto until = std::chrono::steady_clock::now() + time;
        for (auto error = error_code {}; !error && std::chrono::steady_clock::now() < until;)
            readPiece(pieceBytes, pause, error);
    }

private:
    auto readPiece(size_t pieceBytes, std::chrono::milliseconds pause, error_code& error) -> void
    {
        std::this_thread::sleep_for(pause);
        auto piece = std::vector<char>(pieceBytes);
        auto count = m_socket.read_some(asio::buffer(piece), error);
        m_text.append(piece.data(), count);
    }

    auto parse() const -> received_bytes
    {
        auto received = received_bytes {};
        auto rest = std::string_view(m_text);
        while (!rest.empty()) {
            auto parser = http::response_parser<http::string_body> {};
            parser.eager(true);
            parser.body_limit(boost::none);
            auto error = error_code {};
            auto count = size_t { 0 };
            while (!error && !parser.is_done() && count < rest.size())
                count += parser.put(asio::buffer(rest.data() + count, rest.size() - count), error);
            if (!parser.is_done())
                break;
            if (parser.get().result_int() != 100)
                received.answers.emplace_back(parser.get().result_int(), parser.get().body().size());
            rest.remove_prefix(count);
        }
        received.isWhole = rest.empty();
        return received;
    }

    asio::io_context m_context;
    tcp::socket m_socket { m_context };
    std::string m_text;
};

} // namespace gypsumhub
