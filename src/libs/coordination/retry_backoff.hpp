#pragma once

#include "coordination/random_source.hpp"
#include "state/attributes.hpp"
#include "state/clock.hpp"

#include <optional>

namespace pomelorouter::coordination
{

/// Exponential delays with full jitter before the attempts after the first.
class retry_backoff
{
public:
    retry_backoff(state::milliseconds base, state::milliseconds most);
    /// With `retry_base_ms` and `retry_max_ms`.
    explicit retry_backoff(const state::attribute_values& attributes);

    /// Returns the delay before the next attempt, which ends before the deadline; nothing
    /// once the deadline has passed.
    std::optional<state::microseconds>
    next(state::time_point now, state::time_point deadline, random_source& random);

private:
    state::microseconds bound;
    state::microseconds most;
};

} // namespace pomelorouter::coordination
