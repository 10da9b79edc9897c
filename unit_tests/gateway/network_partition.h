#pragma once

#include <cstdint>
#include <pthread.h>
#include <set>
#include <vector>

namespace gypsumhub {

/// How connections between the partitioned nodes and the targets behave.
enum class partition_mode : uint8_t {
    /// New connections hang, and what is written to open ones is lost.
    Silent,
    /// New connections are refused, and open ones are reset when they are next written to.
    Reset,
    /// New connections are refused, and open ones work.
    RefusesNew,
};

/// Cuts the connections that some threads of this process open to some ports, as a partition between nodes and the targets does.
/// Takes effect through the `connect` and `sendmsg` of this program. One partition at a time.
class network_partition {
public:
    network_partition(std::vector<pthread_t> threads, std::set<uint16_t> ports, partition_mode);
    /// Ends the partition.
    ~network_partition();
    network_partition(const network_partition&) = delete;
    auto operator=(const network_partition&) -> network_partition& = delete;
};

} // namespace gypsumhub
