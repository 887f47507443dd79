#include "coordination/weight_demand.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace pomelorouter::coordination
{

namespace
{

/// Time constant of the recent rates: shorter than a peak of demand, longer than the
/// intervals between the requests for one model.
constexpr double recent_window_s = 1.2;
constexpr double usual_window_s = 20.0;
constexpr state::milliseconds peer_report_ttl{2000};
/// Models and adapters with a lower long-term rate are not reported.
constexpr double min_tokens_per_s = 5.0;

double decay(state::time_point from, state::time_point to, double time_constant_s)
{
    return std::exp(-std::chrono::duration<double>(to - from).count() / time_constant_s);
}

void add(weight_rate& sum, const weight_rate& more)
{
    sum.per_s += more.per_s;
    sum.tokens_per_s += more.tokens_per_s;
    sum.usual_tokens_per_s += more.usual_tokens_per_s;
    sum.waiting += more.waiting;
    sum.queued_tokens += more.queued_tokens;
}

} // namespace

void weight_demand::on_request(state::time_point now, const weight_name& name,
                               double tokens)
{
    meter& item = this->meters[name];
    const double share = decay(item.updated, now, recent_window_s);
    item.requests = item.requests * share + 1.0;
    item.tokens = item.tokens * share + tokens;
    item.usual_tokens =
        item.usual_tokens * decay(item.updated, now, usual_window_s) + tokens;
    item.updated = now;
}

void weight_demand::on_wait(const weight_name& name)
{
    ++this->waiting[name];
}

void weight_demand::on_wait_ended(const weight_name& name)
{
    const auto found = this->waiting.find(name);
    if (found != this->waiting.end() && --found->second == 0)
        this->waiting.erase(found);
}

weight_demand::rates weight_demand::own_rates(state::time_point now) const
{
    rates result;
    for (const auto& [name, item] : this->meters)
    {
        const double share = decay(item.updated, now, recent_window_s) / recent_window_s;
        const double usual_share =
            decay(item.updated, now, usual_window_s) / usual_window_s;
        const double usual = item.usual_tokens * usual_share;
        if (usual >= min_tokens_per_s)
            result[name] = {item.requests * share, item.tokens * share, usual, 0};
    }
    for (const auto& [name, count] : this->waiting)
        result[name].waiting = count;
    return result;
}

void weight_demand::set_peer(state::time_point now, const report_source& peer,
                             rates reported)
{
    this->peers[peer] = {now, std::move(reported)};
}

void weight_demand::forget_peer(const report_source& peer)
{
    this->peers.erase(peer);
}

weight_demand::rates weight_demand::zone_rates(state::time_point now,
                                               const std::string& receiver) const
{
    rates result = this->own_rates(now);
    for (const auto& [peer, report] : this->peers)
    {
        if (peer.scope != protocol::load_scope::gateway || peer.name == receiver ||
            now - report.received > peer_report_ttl)
            continue;
        for (const auto& [name, rate] : report.values)
            add(result[name], rate);
    }
    return result;
}

bool weight_demand::had_waiting(const report_source& peer) const
{
    const auto found = this->peers.find(peer);
    return found != this->peers.end() &&
           std::any_of(found->second.values.begin(), found->second.values.end(),
                       [](const auto& item) { return item.second.waiting > 0; });
}

weight_demand::rates weight_demand::total(state::time_point now) const
{
    rates result = this->own_rates(now);
    for (const auto& [peer, report] : this->peers)
    {
        if (now - report.received > peer_report_ttl)
            continue;
        for (const auto& [name, rate] : report.values)
            add(result[name], rate);
    }
    return result;
}

} // namespace pomelorouter::coordination
