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
    /// Steady, with a few requests that run many times longer.
    long_work,
    /// The rate rises tenfold within five seconds, stays there and falls again; at the
    /// same time the popularity moves to other models.
    swing,
};

/// Throws `state::error` if there is no shape of that name.
plan_shape parse_shape(const std::string& name);

struct plan_options
{
    plan_shape shape = plan_shape::steady;
    std::uint64_t seed = 1;
    state::milliseconds duration{20000};
    /// Requests a second, before a swing.
    double rate = 50.0;
    std::int64_t models = 30;
    std::int64_t short_tokens = 16;
    std::int64_t long_tokens = 400;
    /// Share of requests that are long in `long_work`.
    double long_share = 0.02;
    state::milliseconds deadline{3000};
};

/// One request of an open-loop plan: it is sent at its time whatever became of the
/// others.
struct planned_request
{
    state::microseconds at{0};
    std::string model;
    std::string prompt;
    std::int64_t max_tokens = 0;
    bool is_long = false;
    /// Whether it arrives while the rate of a swing is at its highest.
    bool is_peak = false;
};

/// Name of the model with the given number.
std::string model_name(std::int64_t number);

/// Makes a plan that depends on the options only.
std::vector<planned_request> make_plan(const plan_options& options);

} // namespace pomelorouter::bench
