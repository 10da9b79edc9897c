#include "fakes/fake_http_server.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <charconv>
#include <chrono>
#include <memory>
#include <utility>

namespace gypsumhub {

namespace beast = boost::beast;
namespace http = boost::beast::http;
namespace asio = boost::asio;

namespace {

    constexpr auto streamPollInterval = std::chrono::milliseconds(2);

    /// One connection. Pending operations keep it alive.
    class fake_http_session : public std::enable_shared_from_this<fake_http_session> {
    public:
        fake_http_session(asio::ip::tcp::socket socket, fake_http_handler& handler)
            : m_stream(std::move(socket))
            , m_timer(m_stream.get_executor())
            , m_handler(handler)
        {
        }

        auto readNext() -> void
        {
            m_request = {};
            auto done = [self = shared_from_this()](beast::error_code error, size_t) {
                if (!error)
                    self->answer();
            };
            http::async_read(m_stream, m_buffer, m_request, std::move(done));
        }

    private:
        auto answer() -> void
        {
            m_answer = m_handler(m_request.method(), parseHttpTarget({ m_request.target().data(), m_request.target().size() }), m_request.body());
            m_timer.expires_after(std::chrono::nanoseconds(m_answer.delay.ns));
            m_timer.async_wait([self = shared_from_this()](beast::error_code) { self->send(); });
        }

        auto send() -> void
        {
            if (m_answer.closes)
                return m_stream.close();
            if (m_answer.nextLine)
                return sendStreamHeader();
            m_response = { static_cast<http::status>(m_answer.status), 11 };
            m_response.set(http::field::content_type, "application/json");
            for (auto& [name, value] : m_answer.fields)
                m_response.set(name, value);
            m_response.keep_alive(m_request.keep_alive());
            m_response.body() = m_answer.body;
            m_response.prepare_payload();
            auto done = [self = shared_from_this()](beast::error_code error, size_t) {
                if (!error && self->m_response.keep_alive())
                    self->readNext();
            };
            http::async_write(m_stream, m_response, std::move(done));
        }

        auto sendStreamHeader() -> void
        {
            sendText("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n");
        }

        auto sendText(std::string text) -> void
        {
            m_text = std::move(text);
            auto done = [self = shared_from_this()](beast::error_code error, size_t) {
                if (!error)
                    self->pollStream();
            };
            asio::async_write(m_stream, asio::buffer(m_text), std::move(done));
        }

        auto pollStream() -> void
        {
            if (auto line = m_answer.nextLine())
                return sendText(toChunk(*line));
            m_timer.expires_after(streamPollInterval);
            m_timer.async_wait([self = shared_from_this()](beast::error_code) { self->pollUnlessClosed(); });
        }

        auto pollUnlessClosed() -> void
        {
            // When the peer has closed the connection, the socket is readable and at end of file.
            auto byte = char {};
            auto error = beast::error_code {};
            m_stream.socket().non_blocking(true, error);
            m_stream.socket().receive(asio::buffer(&byte, 1), asio::socket_base::message_peek, error);
            if (!error || error == asio::error::would_block)
                pollStream();
        }

        static auto toChunk(const std::string& line) -> std::string
        {
            auto digits = std::array<char, 16> {};
            auto end = std::to_chars(digits.data(), digits.data() + digits.size(), line.size() + 1, 16).ptr;
            return std::string(digits.data(), end) + "\r\n" + line + "\n\r\n";
        }

        beast::tcp_stream m_stream;
        asio::steady_timer m_timer;
        fake_http_handler& m_handler;
        beast::flat_buffer m_buffer;
        http::request<http::string_body> m_request;
        http::response<http::string_body> m_response;
        fake_http_answer m_answer;
        std::string m_text;
    };

} // namespace

auto fake_http_target::number(std::string_view name, int64_t fallback) const -> int64_t
{
    auto found = query.find(name);
    if (found == query.end())
        return fallback;
    auto value = fallback;
    std::from_chars(found->second.data(), found->second.data() + found->second.size(), value);
    return value;
}

auto fake_http_target::text(std::string_view name) const -> std::string
{
    auto found = query.find(name);
    return found == query.end() ? std::string {} : found->second;
}

auto parseHttpTarget(std::string_view target) -> fake_http_target
{
    auto parsed = fake_http_target {};
    auto mark = std::min(target.find('?'), target.size());
    parsed.path = target.substr(0, mark);
    target.remove_prefix(std::min(mark + 1, target.size()));
    while (!target.empty()) {
        auto end = std::min(target.find('&'), target.size());
        auto pair = target.substr(0, end);
        auto equals = std::min(pair.find('='), pair.size());
        parsed.query[std::string(pair.substr(0, equals))] = pair.substr(std::min(equals + 1, pair.size()));
        target.remove_prefix(std::min(end + 1, target.size()));
    }
    return parsed;
}

fake_http_server::fake_http_server(asio::io_context& context, const std::string& address, uint16_t port, fake_http_handler handler)
    : m_context(context)
    , m_acceptor(context, { asio::ip::make_address(address), port })
    , m_handler(std::move(handler))
{
    accept();
}

auto fake_http_server::port() const -> uint16_t
{
    return m_acceptor.local_endpoint().port();
}

auto fake_http_server::accept() -> void
{
    m_acceptor.async_accept([this](beast::error_code error, asio::ip::tcp::socket socket) {
        if (error)
            return;
        std::make_shared<fake_http_session>(std::move(socket), m_handler)->readNext();
        accept();
    });
}

} // namespace gypsumhub
