#pragma once

#include "gypsumhub/store/store.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace gypsumhub {

/// Encodes requests and decodes answers of etcd's v3 key-value protocol in its published JSON mapping: 64-bit numbers are strings, keys and
/// values are base64. Decoders fail with `StoreProtocolError`.
namespace etcd {

    auto rangeRequest(std::string_view key) -> std::string;
    /// A transaction that puts `value` if the key's modification revision is `expectedRevision`; `lease` is 0 for no lease.
    auto putIfRequest(std::string_view key, uint64_t expectedRevision, std::string_view value, int64_t lease) -> std::string;
    auto deleteRequest(std::string_view key) -> std::string;
    auto leaseGrantRequest(int64_t ttlSeconds) -> std::string;
    auto leaseKeepAliveRequest(int64_t lease) -> std::string;
    auto watchRequest(std::string_view key, uint64_t startRevision) -> std::string;

    /// The key's entry in a range answer; nothing when the key is absent.
    auto readRange(std::string_view body) -> leaf::result<std::optional<store_entry>>;

    /// Answer to a transaction of `putIfRequest`.
    struct put_reply {
        /// Whether the comparison held and the value was written.
        bool succeeded { false };
        /// Store revision after the transaction.
        uint64_t revision { 0 };
    };
    auto readPutIf(std::string_view body) -> leaf::result<put_reply>;

    /// Answer to a grant or a keepalive of a lease.
    struct lease_reply {
        int64_t id { 0 };
        /// 0 when the lease has expired.
        int64_t ttlSeconds { 0 };
    };
    auto readLeaseGrant(std::string_view body) -> leaf::result<lease_reply>;
    auto readLeaseKeepAlive(std::string_view line) -> leaf::result<lease_reply>;

    /// The newest put in one line of a watch; nothing when the line contains none. Fails also when the store cancelled the watch.
    auto readWatchLine(std::string_view line) -> leaf::result<std::optional<store_entry>>;

} // namespace etcd

} // namespace gypsumhub
