#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <cstdint>
#include <string>
#include <thread>
#include <vector>

namespace gypsumhub {

/// A server that answers each request with bytes of the test's choice: `begin`, then `rest` again and again until the caller closes.
/// Without `rest` it sends `begin` once and waits for the next request.
class fake_raw_server {
public:
    /// Listens on a free port of `address`. Waits for `pause` between two bytes of `begin`, or sends it in one piece if it is 0.
    fake_raw_server(const std::string& address, std::string begin, std::string rest, std::chrono::milliseconds pause = {});
    ~fake_raw_server();

    auto port() const -> uint16_t { return m_acceptor.local_endpoint().port(); }

private:
    auto accept() -> void;
    auto serve(boost::asio::ip::tcp::socket&) -> void;

    std::string m_begin;
    std::string m_rest;
    std::chrono::milliseconds m_pause;
    boost::asio::io_context m_context;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::vector<std::thread> m_connections;
    std::thread m_thread;
};

} // namespace gypsumhub
