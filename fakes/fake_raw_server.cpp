#include "fakes/fake_raw_server.h"

#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <sys/socket.h>

namespace gypsumhub {

namespace asio = boost::asio;

fake_raw_server::fake_raw_server(const std::string& address, std::string begin, std::string rest, std::chrono::milliseconds pause)
    : m_begin(std::move(begin))
    , m_rest(std::move(rest))
    , m_pause(pause)
    , m_acceptor(m_context, { asio::ip::make_address(address), 0 })
    , m_thread([this] { accept(); })
{
}

fake_raw_server::~fake_raw_server()
{
    ::shutdown(m_acceptor.native_handle(), SHUT_RDWR);
    m_thread.join();
    for (auto& connection : m_connections)
        connection.join();
}

auto fake_raw_server::accept() -> void
{
    for (;;) {
        auto error = boost::system::error_code {};
        auto socket = m_acceptor.accept(error);
        if (error)
            return;
        m_connections.emplace_back([this, accepted = std::move(socket)]() mutable { serve(accepted); });
    }
}

auto fake_raw_server::serve(asio::ip::tcp::socket& socket) -> void
{
    auto request = std::string {};
    auto error = boost::system::error_code {};
    while (!error) {
        auto size = asio::read_until(socket, asio::dynamic_buffer(request), "\r\n\r\n", error);
        if (error)
            return;
        request.erase(0, size);
        if (m_pause.count() == 0)
            asio::write(socket, asio::buffer(m_begin), error);
        for (auto index = size_t { 0 }; m_pause.count() > 0 && index < m_begin.size() && !error; ++index) {
            asio::write(socket, asio::buffer(&m_begin[index], 1), error);
            std::this_thread::sleep_for(m_pause);
        }
        while (!m_rest.empty() && !error)
            asio::write(socket, asio::buffer(m_rest), error);
    }
}

} // namespace gypsumhub
