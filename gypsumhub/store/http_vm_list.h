#pragma once

#include "gypsumhub/store/http_connection.h"
#include "gypsumhub/store/vm_list.h"

namespace gypsumhub {

/// The platform's list of VMs by `GET /v1/vms`, which answers `{"live":["NAME"],"leaving":["NAME"]}`. Used by one thread at a time.
class http_vm_list final : public vm_list {
public:
    explicit http_vm_list(endpoint);

    /// Fails with `StoreUnavailable`, `StoreTimeout` or `StoreProtocolError`; deadlines are wall clock instants.
    auto fetch(time_point deadline) -> leaf::result<vm_list_content> override;

private:
    http_connection m_connection;
};

/// Reads the body of the list's answer.
auto parseVmList(std::string_view body) -> leaf::result<vm_list_content>;

} // namespace gypsumhub
