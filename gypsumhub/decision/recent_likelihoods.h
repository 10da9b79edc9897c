#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

namespace gypsumhub {

/// The latest slow likelihoods of a service's targets on this node; shows within a few answers that all of them are slow.
class recent_likelihoods {
public:
    /// Adds the likelihood of one answer of the target at this position.
    auto add(uint32_t target, float likelihood) -> void
    {
        m_entries[m_next] = { target, likelihood };
        m_next = (m_next + 1) % m_entries.size();
    }

    /// Mean of the answers of other targets, or `unknown` if there are too few.
    auto meanWithout(uint32_t target, float unknown) const -> float
    {
        auto sum = 0.0F;
        auto count = 0;
        for (auto& entry : m_entries) {
            if (entry.target == target || entry.target == nobody)
                continue;
            sum += entry.likelihood;
            ++count;
        }
        return count < fewest ? unknown : sum / static_cast<float>(count);
    }

private:
    static constexpr auto nobody = UINT32_MAX;
    static constexpr auto fewest = 3;

    struct entry {
        uint32_t target { nobody };
        float likelihood { 0 };
    };

    std::array<entry, 8> m_entries {};
    size_t m_next { 0 };
};

} // namespace gypsumhub
