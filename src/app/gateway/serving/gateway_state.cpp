#include "app/gateway/serving/gateway_state.hpp"

#include <utility>

namespace pomelorouter::app
{

namespace
{

/// Maximum and initial number of retries in the budget of one service. The platform
/// allows several times as many over all gateways.
constexpr double max_retries = 8.0;
constexpr double initial_retries = 4.0;
constexpr double bytes_per_mb = 1024.0 * 1024.0;

} // namespace

gateway_state::gateway_state(const boost::asio::any_io_executor& loop_executor,
                             state::gateway_settings_ptr process_settings,
                             state::counter_registry& process_counters,
                             std::uint64_t seed)
    : executor(loop_executor),
      settings(std::move(process_settings)),
      counters(process_counters),
      memory(std::make_shared<transport::memory_budget>(
          static_cast<std::size_t>(this->settings->memory_limit_mb * bytes_per_mb))),
      chooser(this->settings->zone, coordination::speed_model{},
              this->settings->zone_traffic_cost_ms_per_mb),
      random(seed),
      backends_changed(loop_executor),
      loads_changed(loop_executor),
      requests_held(process_counters.count("requests_held_total",
                                           "requests that waited for capacity")),
      requests_released(process_counters.count("requests_released_total",
                                               "waiting requests that were sent")),
      refused_by_deadline(process_counters.count(
          "requests_refused_deadline_total",
          "requests refused since the queues exceed the deadline")),
      refused_by_target(process_counters.count(
          "requests_refused_target_total",
          "requests refused since they would be late and can come back earlier")),
      streams_begun(process_counters.count("streams_begun_total",
                                           "streams whose first event was passed on")),
      streams_completed(process_counters.count("streams_completed_total",
                                               "streams that were complete")),
      streams_cut_at_deadline(process_counters.count(
          "streams_cut_deadline_total", "streams that were cut at their deadline")),
      long_streams(process_counters.count(
          "long_streams_total", "streams that ran for over half of their time limit")),
      long_streams_completed(process_counters.count("long_streams_completed_total",
                                                    "those of them that were complete"))
{
    this->memory->export_to(process_counters);
}

gateway_state::gateway_state(const gateway_state& original,
                             state::counter_registry& own_counters)
    : gateway_state(original.executor, original.settings, own_counters, 0)
{
    this->routes = original.routes;
    this->is_backend_list_known = original.is_backend_list_known;
    this->started = original.started;
    this->directory = original.directory;
    this->loads = original.loads;
    this->limits = original.limits;
    this->chooser = original.chooser;
    this->demand = original.demand;
    this->queue = original.queue;
    this->quarantine = original.quarantine;
    this->allowances = original.allowances;
    this->team_reports = original.team_reports;
    this->is_strongest = original.is_strongest;
    // The trial draws what the next request would draw.
    this->random = original.random;
    this->is_newer_config_announced = original.is_newer_config_announced;
    this->gateways = original.gateways;
    this->is_stopping = original.is_stopping;
    this->exit_at = original.exit_at;
    this->refuses_new_requests = original.refuses_new_requests;
    this->budgets = original.budgets;
}

coordination::retry_budget& gateway_state::budget_of(const std::string& service)
{
    return this->budgets
        .try_emplace(service, coordination::retry_budget(max_retries, initial_retries))
        .first->second;
}

} // namespace pomelorouter::app
