#include "coordination/room_policy.hpp"

#include "coordination/queue_forecast.hpp"
#include "state/enum_table.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <set>

namespace pomelorouter::coordination
{

namespace
{

constexpr std::array<state::enum_name<room_action>, 3> action_names{{
    {room_action::send, "send"},
    {room_action::hold, "hold"},
    {room_action::refuse, "refuse"},
}};

constexpr std::array<state::enum_name<refusal_reason>, 3> reason_names{{
    {refusal_reason::none, "none"},
    {refusal_reason::deadline, "deadline"},
    {refusal_reason::target, "target"},
}};

/// Longest queue at an engine. It keeps the engine busy until the gateways hear of its
/// progress; a longer one would only fix the order of requests too early.
constexpr double max_queue_ms = 450.0;
/// The same limit for a request that has missed its target, in services whose routes have
/// one rank.
constexpr double max_late_queue_ms = 300.0;
/// Share of the time left until the target that the expected queue may take. The rest
/// covers calls of other gateways that the load figures do not contain yet.
constexpr double usable_slack_share = 0.7;
/// Share of the time that the most urgent requests have left which a request of the next
/// rank may fill while it has waited little. Each further rank may fill this share of it.
constexpr double rank_share = 0.5;
/// Ranks of the routes within each priority of a team, so that both fit the priorities of
/// an engine.
constexpr int route_ranks = 3;
/// Highest and lowest priority of a call at an engine.
constexpr int first_priority = 0;
constexpr int last_priority = 9;
/// Callers honour a Retry-After up to the time they have left divided by this.
constexpr double retry_after_divisor = 3.0;
constexpr double min_retry_after_ms = 200.0;

/// Returns the probability with which a request is sent now, so that the gateways that
/// see the same room do not all use it. `room_ms` is the room at each engine.
double send_probability(const waiting_work& work, double idle_ms, double room_ms,
                        double interval_ms)
{
    if (work.others_ms <= 0.0)
        return 1.0;
    const double total_ms = work.others_ms + work.own_ms + idle_ms;
    const double engines = static_cast<double>(work.engines);
    if (total_ms <= engines * room_ms)
        return 1.0;
    // Fills the room in the time until the other gateways know of it, besides what the
    // engines complete meanwhile.
    const double rate = engines * (room_ms / load_report_age_ms + 1.0) / total_ms;
    return std::min(1.0, rate * interval_ms);
}

} // namespace

std::string_view to_string(room_action action)
{
    return name_of(action_names, action);
}

std::string_view to_string(refusal_reason reason)
{
    return name_of(reason_names, reason);
}

double waiting_work::wait_ms() const
{
    return (this->own_ms + this->others_ms) /
           static_cast<double>(std::max<std::size_t>(this->engines, 1));
}

int request_rank(std::optional<int> team_priority, int route_priority)
{
    if (!team_priority)
        return route_priority;
    return *team_priority * route_ranks + std::clamp(route_priority, 0, route_ranks - 1);
}

room_class classify_request(const state::gateway_config& config, std::string_view service,
                            int rank, state::milliseconds target)
{
    room_class result;
    result.target_ms = static_cast<double>(target.count());
    result.urgent_target_ms = result.target_ms;
    std::set<int> more_urgent;
    for (const state::gateway_route& route : config.routes)
    {
        const bool leads_there =
            std::any_of(route.services.begin(), route.services.end(),
                        [service](const state::service_share& share)
                        { return share.service == service && share.weight > 0.0; });
        if (!leads_there || route.priority == rank)
            continue;
        result.is_ranked = config.requires_keys;
        if (route.priority > rank)
            continue;
        more_urgent.insert(route.priority);
        result.urgent_target_ms = std::min(
            result.urgent_target_ms, static_cast<double>(route.target_latency.count()));
    }
    result.more_urgent_ranks = static_cast<int>(more_urgent.size());
    return result;
}

double queue_limit_ms(const room_class& request, double waited_ms, double idle_ms)
{
    const double slack_ms = request.target_ms - waited_ms - idle_ms;
    if (!request.is_ranked)
        return slack_ms >= 0.0 ? max_queue_ms : max_late_queue_ms;
    // What the queue may be without delaying the most urgent requests past their target.
    // Their prompts are assumed to be as long as this one.
    const double urgent_ms = std::clamp(
        usable_slack_share * (request.urgent_target_ms - idle_ms), 0.0, max_queue_ms);
    // One prompt may always be ahead: engines with more than one prompt in a limit would
    // otherwise stay idle between two of them.
    const double least_ms = std::min(idle_ms, max_queue_ms);
    const auto share_of = [&](int ranks)
    { return std::max(urgent_ms * std::pow(rank_share, ranks), least_ms); };
    // A late answer is worth little, so it only gets what all others leave.
    if (slack_ms < 0.0)
        return least_ms;
    const double useful_ms = usable_slack_share * slack_ms;
    if (request.more_urgent_ranks == 0)
        return std::clamp(useful_ms, least_ms, std::max(urgent_ms, least_ms));
    // The limit rises to that of the most urgent as the time until the target runs out,
    // so that patient requests are served within their target too.
    const double fresh_ms = share_of(request.more_urgent_ranks);
    const double used = 1.0 - slack_ms / std::max(request.target_ms - idle_ms, 1.0);
    const double raised_ms = fresh_ms + (std::max(urgent_ms, fresh_ms) - fresh_ms) *
                                            std::clamp(used, 0.0, 1.0);
    return std::clamp(useful_ms, least_ms, raised_ms);
}

int engine_priority(int rank, bool is_late, bool is_resumed)
{
    // A stream that is resumed has been delayed already, and another preemption would
    // cost what it has generated once more.
    const int change = is_resumed ? -1 : static_cast<int>(is_late);
    return std::clamp(rank + change, first_priority, last_priority);
}

room_decision decide_room(const room_request& request, double draw)
{
    room_decision result;
    result.limit_ms = queue_limit_ms(request.urgency, request.waited_ms, request.idle_ms);
    // Requests for other models compete for the same engines. An engine that is idle
    // although they wait is none of theirs.
    const waiting_work& service =
        request.queue_ms >= request.idle_ms ? request.service : request.model;
    result.wait_ms =
        request.queue_ms + std::max(request.model.wait_ms(), service.wait_ms());
    const double room_ms = result.limit_ms - request.queue_ms;
    if (request.is_next && room_ms >= 0.0)
    {
        const auto probability = [&](const waiting_work& work)
        { return send_probability(work, request.idle_ms, room_ms, request.interval_ms); };
        if (!request.urgency.is_ranked ||
            draw < std::min(probability(request.model), probability(service)))
        {
            result.action = room_action::send;
            return result;
        }
    }
    if (result.wait_ms + request.idle_ms >= request.left_ms)
    {
        result.action = room_action::refuse;
        result.reason = refusal_reason::deadline;
        return result;
    }
    // A request that is expected to be late is refused while other requests need the
    // room, unless its turn comes before its caller could be back.
    const double slack_ms =
        request.urgency.target_ms - request.waited_ms - request.idle_ms;
    const bool has_rivals = request.model.others_ms > 0.0 || service.others_ms > 0.0;
    if (request.urgency.is_ranked && has_rivals &&
        result.wait_ms > std::max(slack_ms, min_retry_after_ms))
    {
        result.action = room_action::refuse;
        result.reason = refusal_reason::target;
    }
    return result;
}

double retry_after_ms(double wait_ms, double left_ms, double draw)
{
    // Spreads the callers that are refused at the same time over the rest of the time for
    // which they would wait.
    const double latest_ms = std::max(left_ms / retry_after_divisor, min_retry_after_ms);
    const double earliest_ms = std::clamp(wait_ms, min_retry_after_ms,
                                          std::max(latest_ms / 2.0, min_retry_after_ms));
    return earliest_ms + (latest_ms - earliest_ms) * draw;
}

} // namespace pomelorouter::coordination
