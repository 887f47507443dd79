#pragma once

#include "state/clock.hpp"
#include "state/error.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace pomelorouter::protocol
{

/// Whether a failed request was executed.
enum class run_state
{
    not_run,
    run,
    unknown,
};

std::string_view to_string(run_state value);

/// Returns the HTTP status that reports an error to a caller.
unsigned status_of(state::error_code code);
/// Whether a status guarantees that the request was not executed and will not be.
bool promises_not_run(unsigned status);

/// Error response to a caller; `to_json()` formats its body.
struct refusal
{
    state::error_code code = state::error_code::internal;
    std::string message;
    std::string place;
    std::string expected;
    run_state run = run_state::not_run;
    /// Delay before the caller should retry; absent if a retry does not help.
    std::optional<state::milliseconds> retry_after;

    refusal() = default;
    /// Reports the failure of a request that was not executed.
    explicit refusal(const state::error& failure);

    std::string to_json() const;
};

} // namespace pomelorouter::protocol
