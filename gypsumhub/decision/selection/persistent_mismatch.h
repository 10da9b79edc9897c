#pragma once

#include <cstdint>

namespace gypsumhub {

/// Tells whether what this node knows differs for good from what another one says that it knows. One difference may be a
/// datagram under way; two in a row are a lost one.
class persistent_mismatch {
public:
    /// Takes in a comparison; returns whether the difference lasts.
    auto update(bool differs) -> bool
    {
        constexpr auto requiredInRow = 2U;
        m_inRow = differs ? m_inRow + 1 : 0;
        return m_inRow >= requiredInRow;
    }
    /// What differed has been read anew.
    auto clear() -> void { m_inRow = 0; }

private:
    uint32_t m_inRow { 0 };
};

} // namespace gypsumhub
