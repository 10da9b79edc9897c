#pragma once

#include "gypsumhub/config/configuration.h"
#include "gypsumhub/core/fault.h"
#include "gypsumhub/operator/admin_view.h"

#include <memory>

namespace gypsumhub {

/// Settings of an `admin_server`.
struct admin_server_settings {
    endpoint address;
};

/// Serves operators over HTTP/1.1 on an address of its own, on one thread:
/// `GET /metrics`, `/v1/status`, `/v1/ready` (200 or 503) and `/v1/explain?of=SERVICE_OR_VM`. Read-only.
class admin_server {
public:
    admin_server(const admin_server_settings&, admin_view&);
    ~admin_server();
    admin_server(const admin_server&) = delete;
    auto operator=(const admin_server&) -> admin_server& = delete;

    /// Binds and serves until destruction. Fails with `AddressInUse`.
    auto start() -> leaf::result<void>;

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace gypsumhub
