#pragma once

#include "state/clock.hpp"

namespace pomelorouter::coordination
{

/// Token bucket that limits the rate of loads from the weight store. A new holder of the
/// placement lease starts with an empty bucket, since it does not know which loads the
/// previous holder ordered.
class load_rate_limiter
{
public:
    /// Empties the bucket.
    void reset(state::time_point now);
    /// Returns the number of loads that may start now at a rate of `per_s` per second.
    int available(state::time_point now, double per_s);
    void take();

private:
    double tokens = 0.0;
    state::time_point updated{};
};

} // namespace pomelorouter::coordination
