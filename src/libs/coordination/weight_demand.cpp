#include "coordination/weight_demand.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>
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
/// Several times the models and adapters of the largest deployment (310 models).
constexpr std::size_t max_names = 4096;
/// A full table is searched for names out of use at most this often.
constexpr state::milliseconds drop_interval{1000};

double decay(state::time_point from, state::time_point to, double time_constant_s)
{
    return std::exp(-std::chrono::duration<double>(to - from).count() / time_constant_s);
}

void add(protocol::tokens_by_rank& sum, const protocol::tokens_by_rank& more)
{
    for (std::size_t rank = 0; rank < sum.size(); ++rank)
        sum[rank] += more[rank];
}

void add(weight_rate& sum, const weight_rate& more)
{
    sum.per_s += more.per_s;
    sum.tokens_per_s += more.tokens_per_s;
    sum.usual_tokens_per_s += more.usual_tokens_per_s;
    sum.waiting += more.waiting;
    sum.queued_tokens += more.queued_tokens;
    add(sum.queued_by_rank, more.queued_by_rank);
}

weight_demand::queue_map queues_in(const weight_demand::rates& rates)
{
    weight_demand::queue_map result;
    for (const auto& [name, rate] : rates)
    {
        if (rate.queued_tokens > 0)
            add(result[{name.service, name.model}], rate.queued_by_rank);
    }
    return result;
}

void add(weight_demand::queue_map& sum, const weight_demand::queue_map& more)
{
    for (const auto& [name, tokens] : more)
        add(sum[name], tokens);
}

} // namespace

void weight_demand::on_request(state::time_point now, const weight_name& name,
                               double tokens)
{
    const bool is_full =
        this->meters.size() >= max_names && this->meters.count(name) == 0;
    if (is_full)
    {
        if (now - this->dropped_unused < drop_interval)
            return;
        this->dropped_unused = now;
        std::erase_if(this->meters, [now](const auto& entry)
                      { return usual_rate(entry.second, now) < min_tokens_per_s; });
        if (this->meters.size() >= max_names)
            return;
    }
    meter& item = this->meters[name];
    const double share = decay(item.updated, now, recent_window_s);
    item.requests = item.requests * share + 1.0;
    item.tokens = item.tokens * share + tokens;
    item.usual_tokens =
        item.usual_tokens * decay(item.updated, now, usual_window_s) + tokens;
    item.updated = now;
}

double weight_demand::usual_rate(const meter& item, state::time_point now)
{
    return item.usual_tokens * decay(item.updated, now, usual_window_s) / usual_window_s;
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

void weight_demand::on_queued(const weight_name& name, std::size_t rank,
                              std::uint32_t tokens)
{
    this->queued[name][rank] += tokens;
}

void weight_demand::on_queue_left(const weight_name& name, std::size_t rank,
                                  std::uint32_t tokens)
{
    const auto found = this->queued.find(name);
    if (found == this->queued.end())
        return;
    found->second[rank] -= std::min(found->second[rank], tokens);
    if (found->second == protocol::tokens_by_rank{})
        this->queued.erase(found);
}

weight_demand::rates weight_demand::own_rates(state::time_point now) const
{
    rates result;
    for (const auto& [name, item] : this->meters)
    {
        const double share = decay(item.updated, now, recent_window_s) / recent_window_s;
        const double usual = usual_rate(item, now);
        if (usual >= min_tokens_per_s)
            result[name] = {item.requests * share, item.tokens * share, usual, 0, 0, {}};
    }
    for (const auto& [name, count] : this->waiting)
        result[name].waiting = count;
    for (const auto& [name, tokens] : this->queued)
    {
        weight_rate& rate = result[name];
        rate.queued_by_rank = tokens;
        rate.queued_tokens =
            std::accumulate(tokens.begin(), tokens.end(), std::uint32_t(0));
    }
    return result;
}

void weight_demand::set_peer(state::time_point now, const report_source& peer,
                             rates reported)
{
    queue_map queues = queues_in(reported);
    this->peers[peer] = {now, std::move(reported), std::move(queues)};
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

weight_demand::queue_map weight_demand::own_queues() const
{
    queue_map result;
    for (const auto& [name, tokens] : this->queued)
        add(result[{name.service, name.model}], tokens);
    return result;
}

weight_demand::queue_map weight_demand::zone_queues(state::time_point now) const
{
    queue_map result = this->own_queues();
    for (const auto& [peer, report] : this->peers)
    {
        if (peer.scope == protocol::load_scope::gateway &&
            now - report.received <= peer_report_ttl)
            add(result, report.queues);
    }
    return result;
}

weight_demand::queue_map weight_demand::all_queues(state::time_point now) const
{
    queue_map result = this->own_queues();
    for (const auto& [peer, report] : this->peers)
    {
        if (now - report.received <= peer_report_ttl)
            add(result, report.queues);
    }
    return result;
}

const weight_demand::queue_map* weight_demand::queues_of(state::time_point now,
                                                         const report_source& peer) const
{
    const auto found = this->peers.find(peer);
    const bool is_known =
        found != this->peers.end() && now - found->second.received <= peer_report_ttl;
    return is_known ? &found->second.queues : nullptr;
}

queued_tokens weight_demand::peer_queue(state::time_point now, std::string_view service,
                                        std::string_view model) const
{
    queued_tokens result;
    for (const auto& [peer, report] : this->peers)
    {
        if (now - report.received > peer_report_ttl)
            continue;
        for (const auto& [name, tokens] : report.queues)
        {
            if (name.service != service)
                continue;
            add(result.service, tokens);
            if (name.model == model)
                add(result.model, tokens);
        }
    }
    return result;
}

weight_demand::rates weight_demand::total(state::time_point now) const
{
    rates result = this->own_rates(now);
    for (const auto& [peer, report] : this->peers)
    {
        if (now - report.received > peer_report_ttl)
            continue;
        for (const auto& [name, rate] : report.values)
        {
            // Sums over models that are not listed.
            if (!name.model.empty())
                add(result[name], rate);
        }
    }
    return result;
}

} // namespace pomelorouter::coordination
