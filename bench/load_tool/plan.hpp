#pragma once

#include "state/clock.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace pomelorouter::bench
{

/// How the arrival rate and the popularity of the models change during a run.
enum class plan_shape
{
    /// Constant rate and popularity.
    steady,
    /// Steady, except that a few requests generate many times more tokens.
    long_work,
    /// The rate rises tenfold within five seconds, stays there and falls back; while it
    /// is raised, the popularity moves to other models.
    swing,
};

/// Throws `state::error` (invalid_argument) if `name` is not the name of a shape.
plan_shape parse_shape(const std::string& name);

struct plan_options
{
    plan_shape shape = plan_shape::steady;
    std::uint64_t seed = 1;
    state::milliseconds duration{20000};
    /// Requests per second, outside a swing.
    double rate = 50.0;
    std::int64_t models = 30;
    std::int64_t short_tokens = 16;
    std::int64_t long_tokens = 400;
    /// Fraction of the requests that are long in the shape `long_work`.
    double long_share = 0.02;
    state::milliseconds deadline{3000};
};

/// One request of an open-loop plan: it is sent at its planned time, independently of the
/// progress of the other requests.
struct planned_request
{
    /// Planned time, counted from the start of the run.
    state::microseconds at{0};
    std::string model;
    std::string prompt;
    std::int64_t max_tokens = 0;
    bool is_long = false;
    /// Whether the request is sent while the rate of a swing is at its maximum.
    bool is_peak = false;
};

/// Returns the name of the model with the given number, counted from 0.
std::string model_name(std::int64_t number);

/// Generates the requests of a run in order of their times; the same options give the
/// same plan.
std::vector<planned_request> make_plan(const plan_options& options);

} // namespace pomelorouter::bench
