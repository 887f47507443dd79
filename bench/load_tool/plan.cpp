#include "plan.hpp"

#include "state/enum_table.hpp"
#include "state/error.hpp"

#include <algorithm>
#include <cmath>
#include <random>

namespace pomelorouter::bench
{

namespace
{

constexpr std::array<state::enum_name<plan_shape>, 3> shape_names{{
    {plan_shape::steady, "steady"},
    {plan_shape::long_work, "long_work"},
    {plan_shape::swing, "swing"},
}};

constexpr double peak_factor = 10.0;
constexpr double ramp_s = 5.0;
constexpr double zipf_exponent = 1.0;
constexpr std::int64_t prompts_per_model = 8;
constexpr int words_per_prompt = 40;

/// Begin and end of a swing as fractions of the duration.
constexpr double swing_begin = 0.3;
constexpr double swing_end = 0.8;

struct rate_factor
{
    double factor = 1.0;
    bool is_peak = false;
};

rate_factor rate_at(const plan_options& options, double at_s)
{
    if (options.shape != plan_shape::swing)
        return {};
    const double duration_s = static_cast<double>(options.duration.count()) / 1000.0;
    const double begin = duration_s * swing_begin;
    const double end = duration_s * swing_end;
    if (at_s < begin || at_s > end)
        return {};
    const double ramp = std::min(1.0, (at_s - begin) / ramp_s);
    return {1.0 + (peak_factor - 1.0) * ramp, ramp >= 1.0};
}

std::discrete_distribution<std::int64_t> model_popularity(std::int64_t models)
{
    std::vector<double> weights;
    for (std::int64_t rank = 1; rank <= models; ++rank)
        weights.push_back(1.0 / std::pow(static_cast<double>(rank), zipf_exponent));
    return {weights.begin(), weights.end()};
}

std::string make_prompt(std::int64_t model, std::int64_t number)
{
    std::string prompt = "instructions of model " + std::to_string(model);
    for (int word = 0; word < words_per_prompt; ++word)
        prompt += " context" + std::to_string(word);
    return prompt + " question " + std::to_string(number);
}

} // namespace

plan_shape parse_shape(const std::string& name)
{
    const auto shape = state::value_of(shape_names, name);
    if (!shape)
    {
        throw state::error(state::error_code::invalid_argument, "--shape",
                           "unknown shape; expected steady, long_work or swing");
    }
    return *shape;
}

std::string model_name(std::int64_t number)
{
    return "model-" + std::to_string(number);
}

std::vector<planned_request> make_plan(const plan_options& options)
{
    std::mt19937_64 generator(options.seed);
    std::exponential_distribution<double> interval(1.0);
    std::uniform_real_distribution<double> unit_interval(0.0, 1.0);
    std::uniform_int_distribution<std::int64_t> prompt_number(0, prompts_per_model - 1);
    std::poisson_distribution<std::int64_t> token_count(
        static_cast<double>(options.short_tokens));
    auto rank = model_popularity(options.models);
    std::vector<planned_request> plan;
    const double duration_s = static_cast<double>(options.duration.count()) / 1000.0;
    double at_s = 0.0;
    for (;;)
    {
        const rate_factor rate = rate_at(options, at_s);
        at_s += interval(generator) / (options.rate * rate.factor);
        if (at_s >= duration_s)
            return plan;
        planned_request request;
        request.at = state::microseconds(static_cast<std::int64_t>(at_s * 1e6));
        // During a swing the popularity ranks move to models that were unpopular before.
        const std::int64_t shift = rate.factor > 1.0 ? options.models / 2 : 0;
        const std::int64_t model = (rank(generator) + shift) % options.models;
        request.model = model_name(model);
        request.prompt = make_prompt(model, prompt_number(generator));
        request.is_long = options.shape == plan_shape::long_work &&
                          unit_interval(generator) < options.long_share;
        request.max_tokens = request.is_long
                                 ? options.long_tokens
                                 : std::max<std::int64_t>(1, token_count(generator));
        request.is_peak = rate.is_peak;
        plan.push_back(std::move(request));
    }
}

} // namespace pomelorouter::bench
