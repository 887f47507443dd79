#include "app/node/engine_chooser.hpp"

#include <algorithm>
#include <chrono>
#include <limits>
#include <random>

namespace pomelorouter::app
{

using coordination::engine_slot;
using state::attribute;
using state::routing_policy_kind;

namespace
{

// About the interval at which an engine with 16 slots finishes requests.
constexpr state::milliseconds queue_full_pause{100};
// Views follow the inventories of the engines, which are polled every load_poll_ms, so
// the next views show the missing model.
constexpr state::milliseconds not_resident_pause{500};

// Multiple of the median time to the first token after which a request may be hedged.
// A smaller factor would mostly hedge requests that are about to be answered.
constexpr double hedge_factor = 2.0;
constexpr state::milliseconds min_hedge_delay{20};
// One token more than the detector needs to classify an engine as healthy.
constexpr std::int64_t probe_tokens = 4;

std::string replica_key(const completion_state& request)
{
    return request.model_key + ":" + request.completion.adapter;
}

} // namespace

engine_chooser::engine_chooser(const view_cell& view_source,
                               state::counter_registry& counters)
    : views(view_source),
      detector(load),
      random(std::random_device{}()),
      probes(counters.count("engine_probes_total",
                            "short requests of the node's own to ejected engines, to see "
                            "if they recovered")),
      ejected(counters.gauge("engines_ejected", "engines that get no new work because "
                                                "their calls are slow or fail"))
{
    for (std::size_t i = 0; i < this->policies.size(); ++i)
    {
        this->policies[i] =
            coordination::make_routing_policy(static_cast<routing_policy_kind>(i));
    }
    this->refresh();
}

const std::shared_ptr<const state::node_view>& engine_chooser::refresh()
{
    auto newest = this->views.load();
    if (newest != this->view)
    {
        this->view = std::move(newest);
        this->load.bind(this->view->engines);
    }
    return this->view;
}

bool engine_chooser::tick(state::time_point now)
{
    this->refresh();
    this->detector.tick(now);
    this->ejected.set(static_cast<std::int64_t>(this->detector.ejected()));
    const bool is_new = this->view != this->ticked_view;
    this->ticked_view = this->view;
    return is_new;
}

void engine_chooser::estimate(completion_state& request) const
{
    request.expected_tokens =
        this->estimator.expected_tokens(request.model_key, request.completion.max_tokens);
    request.long_work =
        request.expected_tokens > request.attributes.get(attribute::long_work_tokens);
}

const state::replica_set*
engine_chooser::find_replicas(const completion_state& request) const
{
    const auto model = this->view->models.find(request.model_key);
    if (model == this->view->models.end())
        return nullptr;
    if (request.completion.adapter.empty())
        return &model->second.replicas;
    const auto adapter = model->second.adapters.find(request.completion.adapter);
    return adapter == model->second.adapters.end() ? nullptr : &adapter->second;
}

coordination::routing_query engine_chooser::make_query(const completion_state& request,
                                                       const state::replica_set& replicas,
                                                       state::time_point now)
{
    this->collect_excluded(request, request.tried, now);
    coordination::routing_query query;
    query.candidates = replicas.engines;
    query.engines = this->view->engines;
    query.load = &this->load;
    query.prefixes = &this->prefixes;
    query.prompt = &request.prompt;
    query.tried = this->excluded;
    query.expected_tokens = request.expected_tokens;
    query.long_work = request.long_work;
    query.long_share_percent = request.attributes.get(attribute::long_work_share_percent);
    query.now = now;
    return query;
}

coordination::routing_policy& engine_chooser::policy_of(const completion_state& request)
{
    return *this->policies[static_cast<std::size_t>(request.attributes.policy())];
}

engine_choice engine_chooser::choose(const completion_state& request,
                                     state::time_point now)
{
    engine_choice choice;
    this->refresh();
    const state::replica_set* replicas = this->find_replicas(request);
    if (replicas == nullptr || replicas->engines.empty())
        return choice;
    coordination::routing_query query = this->make_query(request, *replicas, now);
    const auto index = this->policy_of(request).choose(query, this->random);
    if (index)
    {
        const state::backend_view& engine = this->view->engines[*index];
        choice.engine =
            chosen_engine{this->load.slot_of(*index), engine.id, engine.address};
        return choice;
    }
    query.long_work = false;
    if (this->policy_of(request).choose(query, this->random))
    {
        choice.failure = choice_failure::no_room;
        return choice;
    }
    this->collect_excluded(request, request.not_resident, now);
    query.tried = this->excluded;
    if (this->policy_of(request).choose(query, this->random))
        choice.failure = choice_failure::all_tried;
    return choice;
}

bool engine_chooser::has_alternative(const completion_state& request,
                                     state::time_point now)
{
    this->refresh();
    const state::replica_set* replicas = this->find_replicas(request);
    if (replicas == nullptr)
        return false;
    const coordination::routing_query query = this->make_query(request, *replicas, now);
    return std::any_of(query.candidates.begin(), query.candidates.end(),
                       [&query](std::uint32_t candidate)
                       { return coordination::is_eligible(query, candidate, false); });
}

expected_times engine_chooser::expected(const completion_state& request,
                                        state::time_point now)
{
    this->refresh();
    const state::replica_set* replicas = this->find_replicas(request);
    if (replicas == nullptr)
        return {};
    const coordination::routing_query query = this->make_query(request, *replicas, now);
    std::optional<double> least_wait;
    double least_total = std::numeric_limits<double>::max();
    for (const std::uint32_t candidate : query.candidates)
    {
        if (!coordination::is_eligible(query, candidate, true))
            continue;
        const double wait = coordination::admission_wait_us(query, candidate);
        const double gap =
            coordination::expected_gap_us(query, this->load.at_index(candidate));
        const double total = wait + gap * static_cast<double>(request.expected_tokens);
        least_wait = std::min(least_wait.value_or(wait), wait);
        least_total = std::min(least_total, total);
    }
    if (!least_wait)
        return {};
    return {state::microseconds(static_cast<std::int64_t>(*least_wait)),
            state::microseconds(static_cast<std::int64_t>(least_total))};
}

std::optional<chosen_engine> engine_chooser::begin_probe(completion_state& request,
                                                         state::time_point now)
{
    this->refresh();
    const auto slot = this->detector.next_probe(now);
    if (!slot || !this->view->current_settings)
        return std::nullopt;
    // Marked even if the engine has no model to probe with, so that the next engine is
    // probed.
    this->detector.on_probe_sent(*slot, now);
    const std::uint32_t index = this->load.at(*slot).view_index;
    for (const auto& [key, model] : this->view->models)
    {
        const auto& engines = model.replicas.engines;
        if (std::find(engines.begin(), engines.end(), index) == engines.end())
            continue;
        request.model_key = key;
        request.service = model.settings->service;
        request.version = model.settings->version;
        request.attributes = model.settings->attributes;
        request.completion.model = model.settings->name;
        request.completion.prompt = "probe";
        request.completion.max_tokens = probe_tokens;
        request.expected_tokens = probe_tokens;
        this->probes.add();
        const state::backend_view& engine = this->view->engines[index];
        return chosen_engine{*slot, engine.id, engine.address};
    }
    return std::nullopt;
}

coordination::call_number engine_chooser::begin_call(const completion_state& request,
                                                     engine_slot slot,
                                                     state::time_point now)
{
    const std::int64_t left =
        std::max<std::int64_t>(1, request.expected_tokens - request.delivered);
    return this->load.start(slot, left, request.long_work, now);
}

void engine_chooser::on_tokens(const completion_state& request,
                               coordination::call_number call, std::int64_t tokens,
                               state::time_point now)
{
    const coordination::call_load& state = this->load.calls()[call];
    if (!state.has_first_token && tokens > 0)
        this->prefixes.record(request.prompt, state.slot);
    this->load.progress(call, tokens, now);
}

void engine_chooser::on_failure(engine_slot slot, state::time_point now)
{
    this->detector.on_failure(slot, now);
}

void engine_chooser::on_full(engine_slot slot, state::time_point now)
{
    this->load.at(slot).full_until = now + queue_full_pause;
}

void engine_chooser::on_not_resident(const completion_state& request, engine_slot slot,
                                     state::time_point now)
{
    std::erase_if(this->missing_replicas,
                  [now](const missing_replica& item) { return item.until <= now; });
    missing_replica item;
    item.slot = slot;
    item.model = replica_key(request);
    item.until = now + not_resident_pause;
    this->missing_replicas.push_back(std::move(item));
}

void engine_chooser::collect_excluded(const completion_state& request,
                                      const std::vector<engine_slot>& tried,
                                      state::time_point now)
{
    this->excluded.assign(tried.begin(), tried.end());
    if (this->missing_replicas.empty())
        return;
    const std::string key = replica_key(request);
    for (const missing_replica& item : this->missing_replicas)
    {
        if (now < item.until && item.model == key)
            this->excluded.push_back(item.slot);
    }
}

void engine_chooser::on_finished(const completion_state& request)
{
    this->estimator.record(request.model_key, request.completion.max_tokens,
                           request.delivered);
}

bool engine_chooser::is_late(coordination::call_number call, state::time_point now) const
{
    const coordination::call_load& state = this->load.calls()[call];
    const auto usual = std::chrono::duration<double, std::micro>(
        this->load.median_first_token_us() * hedge_factor);
    const state::time_point::duration waited = now - state.waiting_since;
    return state.waiting && !state.has_first_token && waited > min_hedge_delay &&
           waited > usual;
}

bool engine_chooser::should_move(coordination::call_number call,
                                 state::time_point now) const
{
    const coordination::call_load& state = this->load.calls()[call];
    return this->load.at(state.slot).ejected && this->detector.is_stalled(state, now);
}

} // namespace pomelorouter::app
