#pragma once

#include <cstdint>
#include <limits>

namespace gypsumhub {

/// SplitMix64, a small seeded generator with the same sequence on every platform (Steele, Lea, Flood 2014).
class random_generator {
public:
    using result_type = uint64_t;

    explicit constexpr random_generator(uint64_t seed)
        : m_state(seed)
    {
    }

    static constexpr auto min() -> uint64_t { return 0; }
    static constexpr auto max() -> uint64_t { return std::numeric_limits<uint64_t>::max(); }

    /// The next 64 random bits.
    constexpr auto operator()() -> uint64_t
    {
        m_state += 0x9e3779b97f4a7c15;
        auto z = m_state;
        z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9;
        z = (z ^ (z >> 27)) * 0x94d049bb133111eb;
        return z ^ (z >> 31);
    }

    /// A number in [0, bound); `bound` must not be 0.
    constexpr auto below(uint64_t bound) -> uint64_t
    {
        return static_cast<uint64_t>((static_cast<unsigned __int128>((*this)()) * bound) >> 64);
    }

    /// A number in [0, 1).
    constexpr auto unit() -> double { return static_cast<double>((*this)() >> 11) * 0x1p-53; }

private:
    uint64_t m_state;
};

} // namespace gypsumhub
