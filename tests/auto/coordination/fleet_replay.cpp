#include "fleet_replay.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <cmath>
#include <numeric>

namespace pomelorouter::test
{

using coordination::plan_operation;
using coordination::planned_engine;
using coordination::planned_order;
using coordination::weight_demand;
using state::milliseconds;

namespace
{

constexpr milliseconds step{100};
constexpr double step_s = 0.1;
constexpr double recent_window_s = 1.2;
constexpr double usual_window_s = 20.0;
constexpr double model_mb = 70000.0;
constexpr double adapter_mb = 60.0;
constexpr double return_delay_s = 0.3;
constexpr milliseconds store_load{9000};
constexpr milliseconds disk_load{2400};
constexpr milliseconds unload_time{600};
constexpr milliseconds adapter_load{100};

/// Adds `tokens` to the loads of the engines so that the highest of them becomes as low
/// as possible. Loads are in seconds of work, `speeds` in tokens per second.
void spread(double tokens, const std::vector<std::size_t>& holders,
            const std::vector<double>& speeds, std::vector<double>& loads,
            std::vector<double>& shares)
{
    std::vector<std::size_t> order = holders;
    std::sort(order.begin(), order.end(),
              [&loads](std::size_t left, std::size_t right)
              { return loads[left] < loads[right]; });
    double speed = 0.0;
    double filled = 0.0;
    double level = 0.0;
    for (std::size_t i = 0; i < order.size(); ++i)
    {
        speed += speeds[order[i]];
        filled += speeds[order[i]] * loads[order[i]];
        level = (tokens + filled) / speed;
        if (i + 1 == order.size() || level <= loads[order[i + 1]])
            break;
    }
    for (const std::size_t engine : holders)
    {
        shares[engine] = std::max(0.0, level - loads[engine]) * speeds[engine];
        loads[engine] = std::max(loads[engine], level);
    }
}

} // namespace

std::string fleet_replay::model_name(int number)
{
    return "m" + std::to_string(number);
}

fleet_replay::fleet_replay(const fleet_options& fleet)
    : options(fleet), random(fleet.seed)
{
    this->profile.slots = 64;
    this->profile.weight_mb =
        model_mb * this->options.models_per_engine + adapter_mb * 100.0;
    this->profile.adapter_slots = this->options.adapter_slots;
    this->profile.loads_per_s = this->options.loads_per_s;
    for (int number = 0; number < this->options.models; ++number)
    {
        state::hosted_model model;
        model.name = model_name(number);
        model.weight_mb = model_mb;
        model.store_load = store_load;
        model.disk_load = disk_load;
        model.adapter_mb = adapter_mb;
        for (int adapter = 0; adapter < this->options.adapters; ++adapter)
            model.adapters.push_back("a" + std::to_string(adapter));
        this->profile.models.push_back(model);
    }
    this->place_at_start();
    this->make_streams();
    this->allowance.reset(this->now);
}

double fleet_replay::popularity(int model) const
{
    if (!this->weights.empty())
        return this->weights.at(static_cast<std::size_t>(model));
    const int rank = (model + this->rotation) % this->options.models;
    return std::pow(rank + 1.0, -this->options.popularity_exponent);
}

/// Places each model once and fills the rest of the memory with the busy models.
void fleet_replay::place_at_start()
{
    std::vector<int> list(static_cast<std::size_t>(this->options.models));
    std::iota(list.begin(), list.end(), 0);
    const std::size_t places = static_cast<std::size_t>(this->options.engines) *
                               static_cast<std::size_t>(this->options.models_per_engine);
    double total = 0.0;
    for (int model = 0; model < this->options.busy_models; ++model)
        total += this->popularity(model);
    const double free_places = static_cast<double>(places - list.size());
    for (int model = 0; model < this->options.busy_models; ++model)
    {
        const auto extra = std::lround(free_places * this->popularity(model) / total);
        for (long i = 0; i < extra && list.size() < places; ++i)
            list.push_back(model);
    }
    this->engines.resize(static_cast<std::size_t>(this->options.engines));
    for (std::size_t i = 0; i < list.size(); ++i)
    {
        planned_engine& engine = this->engines[i % this->engines.size()];
        const std::string name = model_name(list[i]);
        if (engine.holds_model(name))
            continue;
        engine.models.push_back({name, 1, {}});
        engine.cached.insert(name);
        ++this->initial_copies[name];
    }
    for (std::size_t i = 0; i < this->engines.size(); ++i)
        this->engines[i].id = "e" + std::to_string(i);
    this->speeds.assign(this->engines.size(), this->options.engine_tokens_per_s);
    this->loads.assign(this->engines.size(), 0.0);
    this->busy_s.assign(this->engines.size(), 0.0);
}

void fleet_replay::make_streams()
{
    for (int model = 0; model < this->options.models; ++model)
    {
        this->streams.push_back(
            {model_name(model), "", 0.0, 0.0, 0.0, 0.0, 0.0, 0.0, 0.0});
        for (int adapter = 0; adapter < this->options.adapters; ++adapter)
            this->streams.push_back({model_name(model), "a" + std::to_string(adapter),
                                     0.0, 0.0, 0.0, 0.0, 0.0, 0.0, 0.0});
    }
    this->shift_popularity(0);
}

void fleet_replay::shift_popularity(int ranks)
{
    this->rotation += ranks;
    this->share_demand();
}

void fleet_replay::set_weights(std::vector<double> model_weights)
{
    this->weights = std::move(model_weights);
    this->share_demand();
}

void fleet_replay::share_demand()
{
    double total = 0.0;
    for (int model = 0; model < this->options.models; ++model)
        total += this->popularity(model);
    const auto adapters = static_cast<std::size_t>(this->options.adapters);
    double adapter_weight = 0.0;
    for (std::size_t adapter = 0; adapter < adapters; ++adapter)
        adapter_weight += 1.0 / (static_cast<double>(adapter) + 1.0);
    for (int model = 0; model < this->options.models; ++model)
    {
        const double share = this->popularity(model) / total;
        const double by_adapter = adapters == 0 ? 0.0 : this->options.adapter_share;
        const std::size_t first = static_cast<std::size_t>(model) * (adapters + 1);
        this->streams[first].share = share * (1.0 - by_adapter);
        for (std::size_t adapter = 0; adapter < adapters; ++adapter)
            this->streams[first + 1 + adapter].share =
                share * by_adapter / (static_cast<double>(adapter) + 1.0) /
                adapter_weight;
    }
}

void fleet_replay::set_speed(int engine, double factor)
{
    this->speeds.at(static_cast<std::size_t>(engine)) =
        this->options.engine_tokens_per_s * factor;
}

void fleet_replay::restart_engine(int engine, bool is_new)
{
    planned_engine& item = this->engines.at(static_cast<std::size_t>(engine));
    std::erase_if(this->running_orders, [&item](const running_order& running)
                  { return running.order.engine == item.id; });
    const std::string id = item.id;
    const auto cached = item.cached;
    item = {};
    item.id = id;
    if (!is_new)
        item.cached = cached;
}

void fleet_replay::run(milliseconds duration)
{
    const state::time_point last = this->now + duration;
    for (; this->now < last; this->now += step)
    {
        this->finish_orders();
        this->receive();
        this->serve();
        this->plan();
        this->check();
    }
}

fleet_result fleet_replay::take_result()
{
    fleet_result taken = this->result;
    const double sum = std::accumulate(this->busy_s.begin(), this->busy_s.end(), 0.0);
    const double highest = *std::max_element(this->busy_s.begin(), this->busy_s.end());
    taken.busiest_to_mean = highest * static_cast<double>(this->busy_s.size()) / sum;
    this->result = {};
    std::fill(this->busy_s.begin(), this->busy_s.end(), 0.0);
    return taken;
}

void fleet_replay::receive()
{
    const double requests = this->options.load * this->options.engine_tokens_per_s *
                            static_cast<double>(this->engines.size()) * step_s /
                            this->options.tokens_per_request;
    const double recent_decay = std::exp(-step_s / recent_window_s);
    const double usual_decay = std::exp(-step_s / usual_window_s);
    for (stream& item : this->streams)
    {
        const double mean = requests * item.share;
        const double count =
            mean > 0.0
                ? static_cast<double>(std::poisson_distribution<>(mean)(this->random))
                : 0.0;
        const double new_tokens = count * this->options.tokens_per_request;
        // Callers that come back count as arrivals again.
        const double returned =
            item.returning_tokens * std::min(1.0, step_s / return_delay_s);
        item.returning_tokens -= returned;
        item.repeated_tokens += returned;
        const double tokens = new_tokens + returned;
        const double requests_in = tokens / this->options.tokens_per_request;
        item.recent_requests = item.recent_requests * recent_decay + requests_in;
        item.recent_tokens = item.recent_tokens * recent_decay + tokens;
        item.usual_tokens = item.usual_tokens * usual_decay + tokens;
        item.queued_tokens += tokens;
        this->result.asked_tokens += new_tokens;
    }
}

void fleet_replay::serve()
{
    const std::size_t count = this->engines.size();
    std::vector<std::vector<std::size_t>> holders(this->streams.size());
    for (std::size_t i = 0; i < this->streams.size(); ++i)
    {
        const stream& item = this->streams[i];
        for (std::size_t engine = 0; engine < count; ++engine)
        {
            const bool is_holder =
                item.adapter.empty()
                    ? this->engines[engine].holds_model(item.model)
                    : this->engines[engine].holds_adapter(item.model, item.adapter);
            if (is_holder)
                holders[i].push_back(engine);
        }
    }
    std::vector<std::vector<double>> shares(this->streams.size(),
                                            std::vector<double>(count, 0.0));
    std::fill(this->loads.begin(), this->loads.end(), 0.0);
    constexpr int sweeps = 4;
    for (int sweep = 0; sweep < sweeps; ++sweep)
    {
        for (std::size_t i = 0; i < this->streams.size(); ++i)
        {
            for (const std::size_t engine : holders[i])
            {
                this->loads[engine] -= shares[i][engine] / this->speeds[engine];
                shares[i][engine] = 0.0;
            }
            spread(this->streams[i].queued_tokens / step_s, holders[i], this->speeds,
                   this->loads, shares[i]);
        }
    }
    for (std::size_t engine = 0; engine < count; ++engine)
        this->busy_s[engine] += std::min(this->loads[engine], 1.0) * step_s;
    for (std::size_t i = 0; i < this->streams.size(); ++i)
    {
        stream& item = this->streams[i];
        double served = 0.0;
        for (const std::size_t engine : holders[i])
            served += shares[i][engine] * step_s / std::max(this->loads[engine], 1.0);
        served = std::min(served, item.queued_tokens);
        const double repeated =
            item.queued_tokens > 0.0 ? item.repeated_tokens / item.queued_tokens : 0.0;
        item.queued_tokens -= served;
        this->result.served_tokens += served;
        // What waits for longer than the longest wait is refused.
        const double limit =
            item.recent_tokens / recent_window_s * this->options.longest_wait_s +
            this->options.tokens_per_request;
        const double refused = std::max(0.0, item.queued_tokens - limit);
        item.queued_tokens -= refused;
        item.repeated_tokens = item.queued_tokens * repeated;
        // Callers that were refused twice give up.
        item.returning_tokens +=
            refused * (1.0 - repeated) * this->options.returning_share;
    }
}

weight_demand::rates fleet_replay::measured_demand() const
{
    weight_demand::rates demand;
    for (const stream& item : this->streams)
    {
        if (item.usual_tokens <= 0.0)
            continue;
        coordination::weight_rate& rate = demand[{"models", item.model, item.adapter}];
        rate.per_s = item.recent_requests / recent_window_s;
        rate.tokens_per_s = item.recent_tokens / recent_window_s;
        rate.usual_tokens_per_s = item.usual_tokens / usual_window_s;
        if (this->options.knows_demand)
        {
            rate.tokens_per_s = rate.usual_tokens_per_s =
                item.share * this->options.load * this->options.engine_tokens_per_s *
                static_cast<double>(this->engines.size());
            rate.per_s = rate.tokens_per_s / this->options.tokens_per_request;
        }
        bool is_held = false;
        for (const planned_engine& engine : this->engines)
            is_held |= item.adapter.empty()
                           ? engine.holds_model(item.model)
                           : engine.holds_adapter(item.model, item.adapter);
        if (is_held)
            rate.queued_tokens = static_cast<std::uint32_t>(item.queued_tokens);
        else
            rate.waiting = static_cast<std::uint32_t>(item.queued_tokens /
                                                      this->options.tokens_per_request);
    }
    return demand;
}

void fleet_replay::plan()
{
    this->reports.push_back(this->measured_demand());
    const auto age = static_cast<std::size_t>(this->options.report_age / step);
    while (this->reports.size() > age + 1)
        this->reports.pop_front();
    const weight_demand::rates& demand = this->reports.front();
    constexpr double full_active = 40.0;
    for (std::size_t i = 0; i < this->engines.size(); ++i)
    {
        this->engines[i].active = this->loads[i] * full_active;
        this->engines[i].tokens_per_s = this->speeds[i];
    }
    const int store_loads =
        this->allowance.available(this->now, this->profile.loads_per_s);
    for (const planned_order& order :
         this->planner.plan(this->profile, this->engines, "models", demand,
                            this->initial_copies, store_loads, true))
        this->begin(order);
}

void fleet_replay::begin(const planned_order& order)
{
    planned_engine& engine = *std::find_if(this->engines.begin(), this->engines.end(),
                                           [&order](const planned_engine& item)
                                           { return item.id == order.engine; });
    REQUIRE_FALSE(engine.is_busy);
    engine.is_busy = true;
    milliseconds duration = adapter_load;
    if (order.operation == plan_operation::load_model)
    {
        ++this->result.model_orders;
        engine.loading = order.model;
        engine.reserved.clear();
        duration = order.from_store ? store_load : disk_load;
        if (order.from_store)
        {
            ++this->result.store_loads;
            ++this->result.loads_of[order.model];
            this->allowance.take();
        }
    }
    else if (order.operation == plan_operation::unload_model)
    {
        ++this->result.model_orders;
        engine.reserved = order.room_for;
        duration = unload_time;
        std::erase_if(engine.models, [&order](const state::loaded_model& item)
                      { return item.name == order.model; });
    }
    else
    {
        ++this->result.adapter_orders;
        engine.reserved_adapter = order.room_for;
    }
    this->running_orders.push_back({order, this->now + duration});
}

void fleet_replay::finish_orders()
{
    for (auto item = this->running_orders.begin(); item != this->running_orders.end();)
    {
        if (this->now < item->done)
        {
            ++item;
            continue;
        }
        this->finish(item->order);
        item = this->running_orders.erase(item);
    }
}

void fleet_replay::finish(const planned_order& order)
{
    planned_engine& engine = *std::find_if(this->engines.begin(), this->engines.end(),
                                           [&order](const planned_engine& item)
                                           { return item.id == order.engine; });
    engine.is_busy = false;
    engine.loading.clear();
    if (order.operation == plan_operation::load_model)
    {
        engine.models.push_back({order.model, 1, {}});
        engine.cached.insert(order.model);
    }
    for (state::loaded_model& model : engine.models)
    {
        if (model.name != order.model)
            continue;
        if (order.operation == plan_operation::load_adapter)
            model.adapters.push_back(order.adapter);
        if (order.operation == plan_operation::unload_adapter)
            std::erase(model.adapters, order.adapter);
    }
}

/// Checks that no engine exceeds its limits.
void fleet_replay::check() const
{
    for (const planned_engine& engine : this->engines)
    {
        const std::size_t models =
            engine.models.size() + (engine.loading.empty() ? 0 : 1);
        REQUIRE(models <= static_cast<std::size_t>(this->options.models_per_engine));
        REQUIRE(engine.adapter_count() <= this->options.adapter_slots);
    }
}

int fleet_replay::copies(int model) const
{
    return static_cast<int>(
        std::count_if(this->engines.begin(), this->engines.end(),
                      [model](const planned_engine& engine)
                      { return engine.holds_model(model_name(model)); }));
}

int fleet_replay::adapter_copies(int model, int adapter) const
{
    return static_cast<int>(std::count_if(
        this->engines.begin(), this->engines.end(),
        [model, adapter](const planned_engine& engine) {
            return engine.holds_adapter(model_name(model), "a" + std::to_string(adapter));
        }));
}

double fleet_replay::engine_load(int engine) const
{
    return this->loads.at(static_cast<std::size_t>(engine));
}

} // namespace pomelorouter::test
