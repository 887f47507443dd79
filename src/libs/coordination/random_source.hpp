#pragma once

#include <cstdint>
#include <limits>

namespace pomelorouter::coordination
{

/// Seeded pseudo-random generator (splitmix64) used for all random decisions.
class random_source
{
public:
    using result_type = std::uint64_t;

    explicit random_source(std::uint64_t seed) : state(seed) {}

    static constexpr result_type min() { return 0; }
    static constexpr result_type max() { return std::numeric_limits<result_type>::max(); }

    result_type operator()()
    {
        this->state += 0x9e3779b97f4a7c15U;
        std::uint64_t mixed = this->state;
        mixed = (mixed ^ (mixed >> 30U)) * 0xbf58476d1ce4e5b9U;
        mixed = (mixed ^ (mixed >> 27U)) * 0x94d049bb133111ebU;
        return mixed ^ (mixed >> 31U);
    }

    /// Returns a uniformly distributed number below `bound`, which must be positive.
    std::uint32_t below(std::uint32_t bound)
    {
        // Multiply and shift: the bias is at most bound / 2^32.
        return static_cast<std::uint32_t>((((*this)() >> 32U) * bound) >> 32U);
    }

    /// Returns a uniformly distributed number in [0, 1).
    double unit()
    {
        constexpr double scale = 1.0 / 9007199254740992.0; // 2^-53
        return static_cast<double>((*this)() >> 11U) * scale;
    }

private:
    std::uint64_t state;
};

} // namespace pomelorouter::coordination
