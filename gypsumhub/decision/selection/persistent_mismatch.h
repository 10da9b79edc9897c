#pragma once

#include <cstdint>

namespace gypsumhub {

/// Detects that this node's digest keeps differing from a peer's. A single mismatch may be a datagram in flight; two in a row
/// mean that a datagram was lost and that the data must be listed again (anti-entropy).
class persistent_mismatch {
public:
    /// Records the result of one comparison. Returns whether the mismatch persists.
    auto update(bool differs) -> bool
    {
        constexpr auto requiredInRow = 2U;
        m_inRow = differs ? m_inRow + 1 : 0;
        return m_inRow >= requiredInRow;
    }
    /// Resets the count after the data has been listed again.
    auto clear() -> void { m_inRow = 0; }

private:
    uint32_t m_inRow { 0 };
};

} // namespace gypsumhub
