#pragma once

#include "state/clock.hpp"
#include "state/error.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace pomelorouter::protocol
{

/// Whether the work of a request that failed was run.
enum class run_state
{
    not_run,
    run,
    unknown,
};

std::string_view to_string(run_state value);

/// The HTTP status for an error that a caller sees.
unsigned status_of(state::error_code code);
/// Whether a status tells the caller that the request was not run, and never will be.
bool promises_not_run(unsigned status);

/// The body of every refusal.
struct refusal
{
    state::error_code code = state::error_code::internal;
    std::string message;
    std::string place;
    std::string expected;
    run_state run = run_state::not_run;
    /// When to come back; absent if coming back does not help.
    std::optional<state::milliseconds> retry_after;

    refusal() = default;
    /// A refusal of a request that was not run.
    explicit refusal(const state::error& failure);

    std::string to_json() const;
};

} // namespace pomelorouter::protocol
