#include "coordination/load_rate_limiter.hpp"

#include <algorithm>

namespace pomelorouter::coordination
{

namespace
{
/// Capacity of the token bucket, in loads.
constexpr double max_tokens = 2.0;
} // namespace

void load_rate_limiter::reset(state::time_point now)
{
    this->tokens = 0.0;
    this->updated = now;
}

int load_rate_limiter::available(state::time_point now, double per_s)
{
    const double passed = std::chrono::duration<double>(now - this->updated).count();
    this->updated = now;
    this->tokens = std::min(max_tokens, this->tokens + passed * per_s);
    return static_cast<int>(this->tokens);
}

void load_rate_limiter::take()
{
    this->tokens -= 1.0;
}

} // namespace pomelorouter::coordination
