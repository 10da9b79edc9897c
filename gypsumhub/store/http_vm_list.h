#pragma once

#include "gypsumhub/store/http_connection.h"
#include "gypsumhub/store/vm_list.h"

namespace gypsumhub {

/// Fetches the platform's list of VMs by `GET /v1/vms`, which answers `{"live":["NAME"],"leaving":["NAME"]}`. Not thread-safe.
class http_vm_list final : public vm_list {
public:
    explicit http_vm_list(endpoint);

    /// Fails with `StoreUnavailable`, `StoreTimeout` or `StoreProtocolError`; the deadline is a wall-clock instant.
    auto fetch(time_point deadline) -> leaf::result<vm_list_content> override;

private:
    http_connection m_connection;
};

/// Parses the body of the answer; fails with `StoreProtocolError`.
auto parseVmList(std::string_view body) -> leaf::result<vm_list_content>;

} // namespace gypsumhub
