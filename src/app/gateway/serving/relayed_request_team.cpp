#include "app/gateway/serving/relayed_request.hpp"

#include "state/error.hpp"

#include <cmath>

// The team of a request, its allowance and its priority.

namespace pomelorouter::app
{

using state::error_code;
using state::now;

void relayed_request::identify_team()
{
    this->team_source = this->shared.routes;
    this->team = this->team_source->teams().find(this->metadata.key);
    if (this->team != nullptr || !this->team_source->teams().has_teams() ||
        this->route->anonymous)
        return;
    this->shared.counters
        .count("team_requests_unauthorized_total", "requests without the key of a team")
        .add();
    this->refuse_by_config(error_code::unauthorized, "Authorization",
                           this->metadata.key.empty() ? "expected Bearer and a key"
                                                      : "expected the key of a team");
}

std::optional<state::error> relayed_request::check_key_again()
{
    // A stream that has begun was accepted by the configuration of its time.
    if (this->stream_begun || this->team_source == this->shared.routes)
        return std::nullopt;
    try
    {
        this->identify_team();
    }
    catch (const state::error& failure)
    {
        return failure;
    }
    return std::nullopt;
}

void relayed_request::refuse_by_config(error_code code, const std::string& place,
                                       const std::string& expected) const
{
    if (this->shared.is_newer_config_announced())
    {
        throw state::error(error_code::settings_unknown, place,
                           expected +
                               ", and the gateway has not read the newest configuration");
    }
    throw state::error(code, place, expected);
}

void relayed_request::charge_allowance()
{
    if (this->team == nullptr || !this->team->allowance.is_limited())
        return;
    const double cost = coordination::team_allowances::cost(
        this->team->allowance, this->metadata.has_token_count,
        std::uint64_t{this->metadata.prompt_tokens} + this->metadata.output_tokens);
    const coordination::allowance_decision decision = this->shared.allowances.admit(
        now(), this->team->name, cost, this->shared.random.unit());
    if (decision.is_admitted)
    {
        this->charged_cost = cost;
        this->charged_team = this->team->name;
        this->charged_at = now();
        return;
    }
    this->shared.counters
        .count("team_requests_refused_total",
               "requests beyond the allowance of their team")
        .add();
    this->allowance_wait = decision.retry_after;
    const coordination::allowance_view view =
        this->shared.allowances.view(this->team->name);
    const auto text = [](double value) { return std::to_string(std::llround(value)); };
    throw state::error(error_code::rate_limited, "team " + this->team->name,
                       "limit " + text(view.limit_per_s) + "/s, asked " +
                           text(view.asked_per_s) + "/s, admitted " +
                           text(view.admitted_per_s) + "/s");
}

int relayed_request::priority() const
{
    const bool has_own = this->team != nullptr && this->team->priority;
    return has_own ? *this->team->priority : this->route->priority;
}

int relayed_request::rank() const
{
    return coordination::request_rank(this->team == nullptr ? std::nullopt
                                                            : this->team->priority,
                                      this->route->priority);
}

} // namespace pomelorouter::app
