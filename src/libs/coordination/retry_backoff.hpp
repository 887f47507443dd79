#pragma once

#include "coordination/random_source.hpp"
#include "state/attributes.hpp"
#include "state/clock.hpp"

#include <optional>

namespace pomelorouter::coordination
{

/// Computes exponential delays with full jitter between the attempts of a request.
class retry_backoff
{
public:
    retry_backoff(state::milliseconds base, state::milliseconds max_delay);
    /// Uses the attributes `retry_base_ms` and `retry_max_ms`.
    explicit retry_backoff(const state::attribute_values& attributes);

    /// Returns the delay before the next attempt, which is less than the time until the
    /// deadline, or nothing once the deadline has passed.
    std::optional<state::microseconds>
    next(state::time_point now, state::time_point deadline, random_source& random);

private:
    state::microseconds next_limit;
    state::microseconds max_delay;
};

} // namespace pomelorouter::coordination
