#pragma once

#include "fakes/fake_http_server.h"
#include "fakes/fake_store_state.h"

#include <memory>
#include <string>

namespace gypsumhub {

/// Serves a `fake_store_state` over HTTP: the JSON mapping of etcd v3 for range, txn, deleterange, lease grant and keepalive, and watch.
///
/// Control paths (POST): /control/outage?seconds=N  /control/delay?ms=N  /control/lose_replies?count=N
/// /control/lose_requests?count=N  /control/silence?on=1  /control/snapshot?name=NAME  /control/restore?name=NAME.
/// GET /control/counts returns the calls by kind and the size of the content as JSON.
class fake_store_server {
public:
    fake_store_server(boost::asio::io_context&, const std::string& address, uint16_t port);

    auto port() const -> uint16_t { return m_server.port(); }
    /// Use only on the context's thread or while the context does not run.
    auto state() -> fake_store_state& { return *m_state; }

private:
    auto handle(boost::beast::http::verb, const fake_http_target&, const std::string& body) -> fake_http_answer;
    auto control(const fake_http_target&) -> fake_http_answer;

    std::shared_ptr<fake_store_state> m_state;
    fake_http_server m_server;
};

} // namespace gypsumhub
