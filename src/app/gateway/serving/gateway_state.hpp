#pragma once

#include "coordination/admission_queue.hpp"
#include "coordination/backend_choice.hpp"
#include "coordination/backend_crash.hpp"
#include "coordination/backend_directory.hpp"
#include "coordination/backend_limits.hpp"
#include "coordination/backend_loads.hpp"
#include "coordination/prompt_quarantine.hpp"
#include "coordination/random_source.hpp"
#include "coordination/retry_budget.hpp"
#include "coordination/route_table.hpp"
#include "coordination/team_allowances.hpp"
#include "coordination/team_usage_reports.hpp"
#include "coordination/weight_demand.hpp"
#include "state/counters.hpp"
#include "state/gateway_settings.hpp"
#include "transport/async_event.hpp"
#include "transport/memory_budget.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace pomelorouter::app
{

class relayed_request;

/// State shared by the components of one gateway process. Accessed only from the event
/// loop thread.
struct gateway_state
{
    gateway_state(const boost::asio::any_io_executor& loop_executor,
                  state::gateway_settings_ptr process_settings,
                  state::counter_registry& process_counters, std::uint64_t seed);
    /// Copies all that decisions about requests depend on, for a trial that leaves
    /// `original` as it is. The callbacks of the copy have no effect outside.
    gateway_state(const gateway_state& original, state::counter_registry& own_counters);

    /// Returns the retry budget of a service, creating it on first use.
    coordination::retry_budget& budget_of(const std::string& service);

    boost::asio::any_io_executor executor;
    /// Replaced by each change. Code that uses them across a wait keeps its own pointer.
    state::gateway_settings_ptr settings;
    state::counter_registry& counters;
    /// Memory that clients may hold.
    std::shared_ptr<transport::memory_budget> memory;
    /// Routes of the newest configuration; null until one is known.
    std::shared_ptr<const coordination::route_table> routes;
    /// Whether the list of backend servers was read at least once.
    bool is_backend_list_known = false;
    /// When the process began to accept requests.
    state::time_point started{};
    coordination::backend_directory directory;
    coordination::backend_loads loads;
    coordination::backend_limits limits;
    coordination::backend_chooser chooser;
    coordination::weight_demand demand;
    coordination::admission_queue queue;
    coordination::prompt_quarantine quarantine;
    coordination::team_allowances allowances;
    coordination::team_usage_reports team_reports;
    /// Whether this is the strongest living gateway, which sends the requests that show
    /// whether a quarantined part still crashes backend servers, and saves quarantines.
    bool is_strongest = false;
    /// Requests in progress.
    std::set<relayed_request*> requests;
    coordination::random_source random;
    /// Notified when the directory or the models of an engine have changed.
    transport::async_event backends_changed;
    /// Notified when the load of a backend server has changed.
    transport::async_event loads_changed;
    /// Called when the response of a backend server says that it is leaving.
    std::function<void()> on_backend_leaving = [] {};
    /// Called when a response changed the limit of a backend server.
    std::function<void()> on_limit_changed = [] {};
    /// Called when requests would use permits that this gateway lacks.
    std::function<void()> on_permits_wanted = [] {};
    /// Called when the first event of a stream that may be resumed is passed on, with the
    /// id of the attempt and the software version of the backend server.
    std::function<void(const std::string&, const std::string&)> on_stream_begun =
        [](const std::string&, const std::string&) {};
    /// Returns the software version that began a stream, or nothing if it is not known.
    /// Takes the id of the attempt that brought its first event, the service, and the
    /// longest time since then.
    std::function<boost::asio::awaitable<std::optional<std::string>>(
        std::string, std::string, state::milliseconds)>
        find_stream_origin = [](std::string, std::string, state::milliseconds)
        -> boost::asio::awaitable<std::optional<std::string>> { co_return std::nullopt; };
    /// Called when a call lost its connection. The second argument is empty if the
    /// backend server had begun to answer.
    std::function<void(const state::backend_entry&,
                       std::optional<coordination::unanswered_call>)>
        on_call_lost = [](const state::backend_entry&,
                          const std::optional<coordination::unanswered_call>&) {};
    /// Whether another gateway has a newer configuration that this one has not read yet.
    std::function<bool()> is_newer_config_announced = [] { return false; };
    /// Requests that had to wait, and those of them that were sent or refused.
    state::counter& requests_held;
    state::counter& requests_released;
    state::counter& refused_by_deadline;
    state::counter& refused_by_target;
    /// Streams whose first event was passed on, and those of them that ended complete or
    /// were cut at their deadline.
    state::counter& streams_begun;
    state::counter& streams_completed;
    state::counter& streams_cut_at_deadline;
    /// Streams that ran for more than half of their time limit, and those of them that
    /// ended complete.
    state::counter& long_streams;
    state::counter& long_streams_completed;
    /// Gateways that share the engines, this one included.
    std::size_t gateways = 1;
    /// A planned stop has begun; requests are still accepted.
    bool is_stopping = false;
    /// When the grace period of a planned stop ends.
    state::time_point exit_at{};
    /// New requests are refused, so that those in progress can end in time.
    bool refuses_new_requests = false;

private:
    std::map<std::string, coordination::retry_budget, std::less<>> budgets;
};

} // namespace pomelorouter::app
