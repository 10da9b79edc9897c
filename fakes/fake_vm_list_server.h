#pragma once

#include "fakes/fake_http_server.h"
#include "fakes/fake_vm_list.h"

#include <string>

namespace gypsumhub {

/// Serves a `fake_vm_list` over HTTP: GET /v1/vms returns `{"live":[],"leaving":[]}`.
///
/// Control paths (POST): /control/vm?name=NAME&state=live|leaving|gone  /control/lag?ms=N  /control/outage?seconds=N.
class fake_vm_list_server {
public:
    fake_vm_list_server(boost::asio::io_context&, const std::string& address, uint16_t port);

    auto port() const -> uint16_t { return m_server.port(); }
    /// Use only on the context's thread or while the context does not run.
    auto list() -> fake_vm_list& { return m_list; }

private:
    auto handle(const fake_http_target&) -> fake_http_answer;
    auto changeVm(const fake_http_target&) -> fake_http_answer;

    time_point m_now {};
    fake_vm_list m_list;
    fake_http_server m_server;
};

} // namespace gypsumhub
