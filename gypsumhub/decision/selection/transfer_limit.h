#pragma once

#include <cstddef>
#include <memory>

namespace gypsumhub {

/// Limits how many large listings a node sends to other nodes at the same time.
///
/// Answers the load after a large change, when all nodes of a data centre ask the first node that has it: sent to all at once, no copy
/// would arrive in time. A node that is turned away asks another one, and each node that has received its copy serves it too.
class transfer_limit {
public:
    explicit transfer_limit(double linkMegabits);

    /// The permission to send a listing of `bytes`, held until it is destroyed, or null when too many are being sent. Small listings
    /// are always permitted.
    auto acquire(size_t bytes) -> std::shared_ptr<void>;

private:
    size_t m_maxTransfers;
    std::shared_ptr<size_t> m_transfers { std::make_shared<size_t>(0) };
};

} // namespace gypsumhub
