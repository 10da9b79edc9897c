#pragma once

#include "gypsumhub/config/configuration.h"
#include "gypsumhub/core/fault.h"
#include "gypsumhub/operator/admin_view.h"

#include <memory>

namespace gypsumhub {

/// Settings of an `admin_server`.
struct admin_server_settings {
    /// Address and port that the server listens on.
    endpoint address;
};

/// Read-only HTTP/1.1 server for operators, with its own address and one thread of its own. Serves `GET /metrics`, `/v1/status`,
/// `/v1/ready` (200 or 503) and `/v1/explain?of=SERVICE_OR_VM`.
class admin_server {
public:
    /// The view must outlive the server, which calls it from its thread.
    admin_server(const admin_server_settings&, admin_view&);
    ~admin_server();
    admin_server(const admin_server&) = delete;
    auto operator=(const admin_server&) -> admin_server& = delete;

    /// Binds the address and serves requests until destruction. Fails with `AddressInUse` when it cannot listen.
    auto start() -> leaf::result<void>;

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace gypsumhub
