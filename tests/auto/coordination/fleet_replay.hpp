#pragma once

#include "coordination/load_rate_limiter.hpp"
#include "coordination/weight_planner.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace pomelorouter::test
{

/// Size and load of a replayed fleet.
struct fleet_options
{
    int engines = 60;
    int models = 110;
    /// Models that are placed on several engines at the start, the most popular first.
    int busy_models = 20;
    int models_per_engine = 3;
    int adapter_slots = 8;
    /// Adapters of each of the busy models.
    int adapters = 4;
    /// Share of the requests for busy models that name an adapter.
    double adapter_share = 0.4;
    /// Exponent of the popularity of models over their ranks.
    double popularity_exponent = 1.0;
    /// Prompt tokens that one engine reads per second.
    double engine_tokens_per_s = 20000.0;
    /// Demand as a share of what all engines can read.
    double load = 0.55;
    double loads_per_s = 8.5;
    double tokens_per_request = 2000.0;
    /// Requests that wait for longer are refused.
    double longest_wait_s = 1.0;
    /// Share of the refused requests whose callers send them once more.
    double returning_share = 0.0;
    /// Age of the demand that the planner sees.
    state::milliseconds report_age{0};
    /// The planner sees the true mean of the demand, as a bound on what it can do.
    bool knows_demand = false;
    std::uint64_t seed = 1;
};

/// What happened since the last call of `fleet_replay::take_result`.
struct fleet_result
{
    double asked_tokens = 0.0;
    /// Tokens of requests that were read within the longest wait.
    double served_tokens = 0.0;
    /// Time that the busiest engine worked by the mean of all engines.
    double busiest_to_mean = 0.0;
    int store_loads = 0;
    int model_orders = 0;
    int adapter_orders = 0;
    /// Loads from the weight store by model.
    std::map<std::string, int> loads_of;

    double served_share() const { return this->served_tokens / this->asked_tokens; }
};

/// Engines and callers in virtual time. Requests arrive at random, are spread over the
/// engines that hold their weights in the best possible way, wait for 1 s at most, and
/// are refused then. The planner sees the demand as gateways measure it.
class fleet_replay
{
public:
    explicit fleet_replay(const fleet_options& fleet);

    void run(state::milliseconds duration);
    fleet_result take_result();

    /// Rotates the popularity of models, so that those of other ranks become the busy
    /// ones.
    void shift_popularity(int ranks);
    /// Sets the demand for each model in proportion to `weights`.
    void set_weights(std::vector<double> weights);
    void set_load(double load) { this->options.load = load; }
    /// Multiplies the speed of an engine.
    void set_speed(int engine, double factor);
    /// The engine loses all its models; it keeps its disk unless it is new.
    void restart_engine(int engine, bool is_new);

    int copies(int model) const;
    int adapter_copies(int model, int adapter) const;
    double engine_load(int engine) const;
    static std::string model_name(int number);

private:
    struct stream
    {
        std::string model;
        std::string adapter;
        double share = 0.0;
        double recent_requests = 0.0;
        double recent_tokens = 0.0;
        double usual_tokens = 0.0;
        double queued_tokens = 0.0;
        /// Tokens of this queue that were refused before, and tokens that come back.
        double repeated_tokens = 0.0;
        double returning_tokens = 0.0;
    };
    struct running_order
    {
        coordination::planned_order order;
        state::time_point done;
    };

    void place_at_start();
    void make_streams();
    void share_demand();
    void receive();
    void serve();
    coordination::weight_demand::rates measured_demand() const;
    void plan();
    void begin(const coordination::planned_order& order);
    void finish_orders();
    void finish(const coordination::planned_order& order);
    void check() const;
    double popularity(int model) const;

    fleet_options options;
    int rotation = 0;
    /// Demand for each model that was set; empty for the popularity by rank.
    std::vector<double> weights;
    /// Reports that the planner has not seen, and the one that it has.
    std::deque<coordination::weight_demand::rates> reports;
    state::engine_profile profile;
    std::vector<coordination::planned_engine> engines;
    std::vector<double> speeds;
    std::vector<double> loads;
    std::vector<double> busy_s;
    std::vector<stream> streams;
    std::map<std::string, int> initial_copies;
    std::vector<running_order> running_orders;
    coordination::weight_planner planner;
    coordination::load_rate_limiter allowance;
    std::mt19937_64 random;
    state::time_point now{state::seconds(100)};
    fleet_result result;
};

} // namespace pomelorouter::test
