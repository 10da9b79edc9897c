#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

namespace gypsumhub {

/// The latest slow likelihoods of a service's targets on this node. Detects within a few answers that all targets are slow.
class recent_likelihoods {
public:
    /// Adds the likelihood of one answer of the target at this position.
    auto add(uint32_t target, float likelihood) -> void
    {
        m_entries[m_next] = { target, likelihood };
        m_next = (m_next + 1) % m_entries.size();
    }

    /// Mean likelihood of the answers of other targets, or `fallback` if there are too few.
    auto meanWithout(uint32_t target, float fallback) const -> float
    {
        auto sum = 0.0F;
        auto count = 0;
        for (auto& entry : m_entries) {
            if (entry.target == target || entry.target == noTarget)
                continue;
            sum += entry.likelihood;
            ++count;
        }
        return count < minSamples ? fallback : sum / static_cast<float>(count);
    }

private:
    static constexpr auto noTarget = UINT32_MAX;
    static constexpr auto minSamples = 3;

    /// The slow likelihood of one answer, in nats.
    struct entry {
        uint32_t target { noTarget };
        float likelihood { 0 };
    };

    std::array<entry, 8> m_entries {};
    size_t m_next { 0 };
};

} // namespace gypsumhub
