#pragma once

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/basic_socket_acceptor.hpp>
#include <boost/asio/basic_stream_socket.hpp>
#include <boost/asio/basic_waitable_timer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http.hpp>
#include <chrono>

namespace gypsumhub {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

using tcp = asio::ip::tcp;
using error_code = boost::system::error_code;

// The concrete executor type avoids the type erasure of `any_io_executor` in each operation.
using io_executor = asio::io_context::executor_type;
using tcp_socket = asio::basic_stream_socket<tcp, io_executor>;
using tcp_acceptor = asio::basic_socket_acceptor<tcp, io_executor>;
using steady_timer
    = asio::basic_waitable_timer<std::chrono::steady_clock, asio::wait_traits<std::chrono::steady_clock>, io_executor>;

/// A coroutine that runs on the thread of one `io_context`.
template <typename T = void>
using task = asio::awaitable<T, io_executor>;

/// Completion token that resumes the coroutine with the error code as a value instead of an exception.
constexpr auto useTask = asio::as_tuple(asio::use_awaitable_t<io_executor> {});

} // namespace gypsumhub
