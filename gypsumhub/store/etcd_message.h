#pragma once

#include "gypsumhub/store/store.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace gypsumhub {

/// Requests and answers of the key-value protocol of etcd v3 in its published JSON mapping: 64-bit numbers are strings,
/// keys and values are base64.
namespace etcd {

    auto rangeRequest(std::string_view key) -> std::string;
    /// A transaction that puts `value` if the key's modification revision is `expectedRevision`; `lease` 0 means none.
    auto putIfRequest(std::string_view key, uint64_t expectedRevision, std::string_view value, int64_t lease) -> std::string;
    auto deleteRequest(std::string_view key) -> std::string;
    auto leaseGrantRequest(int64_t ttlSeconds) -> std::string;
    auto leaseKeepAliveRequest(int64_t lease) -> std::string;
    auto watchRequest(std::string_view key, uint64_t startRevision) -> std::string;

    /// The key's entry of a range answer; nothing when the key is absent. Fails with `StoreProtocolError`.
    auto readRange(std::string_view body) -> leaf::result<std::optional<store_entry>>;

    struct put_reply {
        bool succeeded { false };
        uint64_t revision { 0 };
    };
    auto readPutIf(std::string_view body) -> leaf::result<put_reply>;

    struct lease_reply {
        int64_t id { 0 };
        /// 0 when the lease has lapsed.
        int64_t ttlSeconds { 0 };
    };
    auto readLeaseGrant(std::string_view body) -> leaf::result<lease_reply>;
    auto readLeaseKeepAlive(std::string_view line) -> leaf::result<lease_reply>;

    /// The newest put of one line of a watch; nothing when the line carries none. Fails with `StoreProtocolError` when the
    /// store cancelled the watch.
    auto readWatchLine(std::string_view line) -> leaf::result<std::optional<store_entry>>;

} // namespace etcd

} // namespace gypsumhub
