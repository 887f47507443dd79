#pragma once

#include "state/clock.hpp"

namespace pomelorouter::coordination
{

/// Token bucket for loads from the weight store. A new holder of the placement lease
/// starts with an empty one, since it does not know what its predecessor ordered.
class load_allowance
{
public:
    /// Empties the bucket.
    void reset(state::time_point now);
    /// Loads that may begin now, at `per_s` loads a second.
    int available(state::time_point now, double per_s);
    void take();

private:
    double tokens = 0.0;
    state::time_point updated{};
};

} // namespace pomelorouter::coordination
