#include "app/gateway/process/explanation.hpp"

#include "app/gateway/serving/relayed_request.hpp"
#include "state/enum_table.hpp"
#include "state/error.hpp"
#include "state/json_reader.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>

#include <algorithm>
#include <array>
#include <cmath>
#include <exception>
#include <limits>
#include <memory>
#include <utility>
#include <vector>

namespace pomelorouter::app
{

namespace asio = boost::asio;
using coordination::backend_choice;
using coordination::candidate_state;
using coordination::candidate_terms;
using state::error;
using state::error_code;
using state::milliseconds;

namespace
{

constexpr std::int64_t max_deadline_ms = 3600000;

/// What would happen to a request.
enum class decision
{
    send,
    /// It would wait at this gateway until an engine has the weights or room for it.
    hold,
    refuse,
};

constexpr std::array<state::enum_name<decision>, 3> decision_names{{
    {decision::send, "send"},
    {decision::hold, "hold"},
    {decision::refuse, "refuse"},
}};

/// Why a request with a suitable engine would wait.
enum class hold_reason
{
    /// The expected queue of the engine is longer than the limit of the request.
    queue_too_long,
    /// Requests of this gateway or of others share the room of the engines.
    others_wait,
};

constexpr std::array<state::enum_name<hold_reason>, 2> hold_names{{
    {hold_reason::queue_too_long, "queue_too_long"},
    {hold_reason::others_wait, "others_wait"},
}};

/// Rounds to tenths, so that a page of figures can be read.
double rounded(double value)
{
    constexpr double steps = 10.0;
    return std::round(value * steps) / steps;
}

boost::json::string text(std::string_view value)
{
    return boost::json::string(value);
}

/// The exchange of a request that has no client. It keeps the response.
class trial_exchange : public transport::http_exchange
{
public:
    explicit trial_exchange(transport::http_request request)
        : own_request(std::move(request))
    {
    }

    const transport::http_request& request() const override { return this->own_request; }
    asio::awaitable<void> respond(transport::http_response final_response) override
    {
        this->response = std::move(final_response);
        co_return;
    }
    // A stream begins only after a request was sent.
    asio::awaitable<void> begin_stream(transport::http_response) override { co_return; }
    asio::awaitable<void> write_piece(std::string) override { co_return; }
    asio::awaitable<void> end_stream() override { co_return; }
    bool has_responded() const override { return this->response.has_value(); }
    bool client_has_closed() override { return false; }
    state::time_point received_at() const override { return this->arrival; }

    std::optional<transport::http_response> response;

private:
    transport::http_request own_request;
    state::time_point arrival = state::now();
};

boost::json::object describe(const candidate_terms& item)
{
    boost::json::object result{{"backend", item.backend},
                               {"zone", item.zone},
                               {"state", text(to_string(item.state))}};
    if (item.available_at)
    {
        const auto left =
            std::chrono::duration_cast<milliseconds>(*item.available_at - state::now());
        result["available_in_ms"] = std::max<std::int64_t>(left.count(), 0);
    }
    if (item.state != candidate_state::usable && item.state != candidate_state::too_late)
        return result;
    result["cost_ms"] = rounded(item.cost_ms);
    result["wait_cost_ms"] = rounded(item.cost_ms - item.extra.sum());
    result["overdue_cost_ms"] = rounded(item.extra.overdue_ms);
    result["failure_cost_ms"] = rounded(item.extra.failure_ms);
    result["refusal_cost_ms"] = rounded(item.extra.refusal_ms);
    result["zone_cost_ms"] = rounded(item.extra.zone_ms);
    result["expected_ms"] = rounded(item.expected_ms);
    result["idle_ms"] = rounded(item.idle_ms);
    result["queue_ms"] = rounded(item.queue_ms);
    result["stream_ms"] = rounded(item.stream_ms);
    result["uncached_tokens"] = item.uncached_tokens;
    return result;
}

boost::json::value describe(const state::gateway_route* route)
{
    if (route == nullptr)
        return nullptr;
    return boost::json::object{{"name", route->name},
                               {"type", text(to_string(route->type))},
                               {"priority", route->priority},
                               {"timeout_ms", route->timeout.count()},
                               {"target_ms", route->target_latency.count()},
                               {"max_attempts", route->max_attempts}};
}

boost::json::value describe(const state::team* team,
                            const coordination::team_allowances& allowances)
{
    if (team == nullptr)
        return nullptr;
    boost::json::object result{{"name", team->name}, {"priority", nullptr}};
    if (team->priority)
        result["priority"] = *team->priority;
    if (!team->allowance.is_limited())
    {
        result["allowance"] = nullptr;
        return result;
    }
    const coordination::allowance_view view = allowances.view(team->name);
    result["allowance"] =
        boost::json::object{{"unit", text(to_string(team->allowance.unit))},
                            {"limit_per_s", rounded(view.limit_per_s)},
                            {"asked_per_s", rounded(view.asked_per_s)},
                            {"admitted_per_s", rounded(view.admitted_per_s)},
                            {"left", rounded(std::max(view.room, 0.0))}};
    return result;
}

/// A request on a copy of the gateway's state. Runs the code of real requests up to the
/// point at which they are sent.
class request_trial : public std::enable_shared_from_this<request_trial>
{
public:
    request_trial(const gateway_state& live, const request_dialect& dialect,
                  transport::http_client& client, transport::http_request request)
        : original(live),
          state_copy(live, this->counters),
          exchange(std::move(request)),
          relayed(this->state_copy, dialect, client, this->exchange),
          waiting_before(this->state_copy.queue.size())
    {
    }

    void start()
    {
        asio::co_spawn(this->original.executor, this->relayed.decide_only(),
                       [self = this->shared_from_this()](std::exception_ptr thrown,
                                                         backend_choice made)
                       {
                           self->failure = std::move(thrown);
                           self->choice = std::move(made);
                           self->is_done = true;
                       });
    }
    bool has_ended() const { return this->is_done; }
    /// Whether the request waits in the queue. Its decision suspends nowhere else.
    bool is_held() const
    {
        return !this->is_done && this->state_copy.queue.size() > this->waiting_before;
    }
    void withdraw()
    {
        this->relayed.withdraw();
        this->state_copy.loads_changed.notify();
    }
    boost::json::object result() const;

private:
    decision outcome() const
    {
        if (this->is_held())
            return decision::hold;
        return this->choice.backend ? decision::send : decision::refuse;
    }
    /// Returns the candidates, and sets `choice` to one of them.
    std::vector<candidate_terms> candidates(const request_terms& terms,
                                            backend_choice& any_choice) const;
    void add_refusal(boost::json::object& result) const;

    const gateway_state& original;
    state::counter_registry counters;
    gateway_state state_copy;
    trial_exchange exchange;
    relayed_request relayed;
    std::size_t waiting_before;
    backend_choice choice;
    std::exception_ptr failure;
    bool is_done = false;
};

std::vector<candidate_terms> request_trial::candidates(const request_terms& terms,
                                                       backend_choice& any_choice) const
{
    std::vector<candidate_terms> result;
    if (terms.demand.service.empty())
        return result;
    constexpr double any_draw = 0.0;
    any_choice = this->original.chooser.choose(
        state::now(), this->original.directory, this->original.loads,
        this->original.limits, terms.demand, {}, any_draw, &result);
    return result;
}

void request_trial::add_refusal(boost::json::object& result) const
{
    const std::optional<transport::http_response>& response = this->exchange.response;
    if (!response)
        return;
    result["status"] = response->result_int();
    const boost::json::value body = boost::json::parse(response->body());
    const boost::json::object& refusal = body.at("error").get_object();
    result["error"] = refusal.at("type");
    result["reason"] = refusal.at("message");
    if (const boost::json::value* const after = refusal.if_contains("retry_after_ms"))
        result["retry_after_ms"] = *after;
}

boost::json::object request_trial::result() const
{
    if (this->failure)
        std::rethrow_exception(this->failure);
    const request_terms terms = this->relayed.terms();
    backend_choice any_choice;
    const std::vector<candidate_terms> found = this->candidates(terms, any_choice);
    const decision made = this->outcome();
    boost::json::object result{{"decision", text(name_of(decision_names, made))}};
    switch (made)
    {
    case decision::send:
        result["backend"] = this->choice.backend->entry.id;
        break;
    case decision::hold:
    {
        const hold_reason reason = terms.queue_ms > terms.queue_limit_ms
                                       ? hold_reason::queue_too_long
                                       : hold_reason::others_wait;
        result["reason"] = text(any_choice.backend ? name_of(hold_names, reason)
                                                   : to_string(any_choice.failure));
        break;
    }
    case decision::refuse:
        this->add_refusal(result);
        break;
    }
    result["gateway"] = this->original.settings->node_id;
    result["config_version"] = nullptr;
    if (this->original.routes)
        result["config_version"] = this->original.routes->config().version;
    result["route"] = describe(terms.route);
    result["team"] = describe(terms.team, this->original.allowances);
    result["service"] = terms.demand.service;
    result["weights"] = terms.demand.weights();
    result["rank"] = nullptr;
    if (terms.rank)
        result["rank"] = *terms.rank;
    result["time_limit_ms"] = terms.time_limit.count();
    result["waiting_here"] = this->waiting_before;
    result["queue_ms"] = nullptr;
    result["queue_limit_ms"] = nullptr;
    if (terms.has_queue_limit)
    {
        result["queue_ms"] = rounded(terms.queue_ms);
        result["queue_limit_ms"] = rounded(terms.queue_limit_ms);
    }
    boost::json::array list;
    for (const candidate_terms& item : found)
        list.push_back(describe(item));
    result["candidates"] = std::move(list);
    return result;
}

/// Not made in the coroutine: GCC 12 destroys such temporaries there twice.
std::shared_ptr<request_trial> start_trial(const gateway_state& live,
                                           const request_dialect& dialect,
                                           transport::http_client& client,
                                           const explained_request& query)
{
    transport::http_request request(query.method, query.path, 11);
    request.set(transport::field::host, query.host);
    dialect.write_request(query.metadata, request);
    auto trial =
        std::make_shared<request_trial>(live, dialect, client, std::move(request));
    trial->start();
    return trial;
}

} // namespace

explained_request read_explained_request(std::string_view body)
{
    constexpr std::int64_t max_tokens = std::numeric_limits<std::uint32_t>::max();
    const boost::json::value document = state::parse_json(body, "explain");
    state::json_reader reader(document, "explain");
    explained_request result;
    result.host = reader.get_string("host");
    result.path = reader.get_string("path");
    result.method =
        boost::beast::http::string_to_verb(reader.get_string("method", "POST"));
    request_metadata& metadata = result.metadata;
    metadata.key = reader.get_string("key", "");
    metadata.model = reader.get_string("model", "");
    metadata.adapter = reader.get_string("adapter", "");
    metadata.has_token_count = reader.find("prompt_tokens") != nullptr ||
                               reader.find("output_tokens") != nullptr;
    metadata.prompt_tokens =
        static_cast<std::uint32_t>(reader.get_int("prompt_tokens", 0, max_tokens, 0));
    metadata.output_tokens =
        static_cast<std::uint32_t>(reader.get_int("output_tokens", 0, max_tokens, 0));
    if (reader.find("deadline_ms") != nullptr)
        metadata.time_budget =
            milliseconds(reader.get_int("deadline_ms", 1, max_deadline_ms));
    reader.finish();
    if (result.host.empty())
        throw error(error_code::invalid_argument, reader.where("host"),
                    "expected the name of a host");
    if (!result.path.starts_with('/'))
        throw error(error_code::invalid_argument, reader.where("path"),
                    "expected a path that begins with /");
    if (result.method == transport::verb::unknown)
        throw error(error_code::invalid_argument, reader.where("method"),
                    "expected a method of HTTP");
    if (metadata.model.empty() && !metadata.adapter.empty())
        throw error(error_code::missing_key, reader.where("model"),
                    "an adapter needs the name of its model");
    return result;
}

asio::awaitable<boost::json::object> explain(const gateway_state& live,
                                             const request_dialect& dialect,
                                             transport::http_client& client,
                                             const explained_request& query)
{
    const std::shared_ptr<request_trial> trial =
        start_trial(live, dialect, client, query);
    while (!trial->has_ended() && !trial->is_held())
        co_await asio::post(live.executor, asio::use_awaitable);
    boost::json::object result = trial->result();
    if (trial->is_held())
        trial->withdraw();
    // The copied state refers to parts of the gateway, so it must not outlive the call.
    while (!trial->has_ended())
        co_await asio::post(live.executor, asio::use_awaitable);
    co_return result;
}

} // namespace pomelorouter::app
