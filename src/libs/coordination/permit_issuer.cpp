#include "coordination/permit_issuer.hpp"

#include "coordination/rendezvous.hpp"

#include <algorithm>
#include <cmath>

namespace pomelorouter::coordination
{

namespace
{

using state::milliseconds;

constexpr double ms_per_s = 1000.0;
/// Gateways may differ for this long in which of them they consider ready, so a new
/// issuer waits before it issues the first permit.
constexpr milliseconds handover_time{1200};
/// Delay of the next request to a gateway that may not issue permits.
constexpr milliseconds redirect_delay{300};
/// Permits that may be issued at once, as the time in which the limit allows as many, and
/// their minimum number.
constexpr double burst_s = 0.25;
constexpr double min_burst = 2.0;
/// A backend server with a lower limit gets a request as often as this, since only its
/// responses show that its need is over.
constexpr double min_rate_per_s = 0.2;
/// Requests that are not urgent get no permits for this long after an urgent one was
/// refused.
constexpr milliseconds urgent_time{1000};
constexpr milliseconds longest_wait{5000};
constexpr milliseconds bucket_lifetime{60000};

milliseconds to_ms(double seconds)
{
    return milliseconds(static_cast<std::int64_t>(std::ceil(seconds * ms_per_s)));
}

} // namespace

void permit_issuer::set_gateways(state::time_point now, std::vector<std::string> ready)
{
    std::sort(ready.begin(), ready.end());
    if (this->sets.empty() || this->sets.back().nodes != ready)
        this->sets.push_back({now, std::move(ready)});
    // The second set shows until when the first one was valid.
    while (this->sets.size() > 1 && now - this->sets[1].since >= handover_time)
        this->sets.pop_front();
}

std::string permit_issuer::issuer_among(const std::vector<std::string>& nodes,
                                        std::string_view backend)
{
    const auto best = std::max_element(
        nodes.begin(), nodes.end(),
        [backend](const std::string& left, const std::string& right)
        { return rendezvous_weight(backend, left) < rendezvous_weight(backend, right); });
    return best == nodes.end() ? "" : *best;
}

std::string permit_issuer::issuer_of(std::string_view backend) const
{
    return this->sets.empty() ? "" : issuer_among(this->sets.back().nodes, backend);
}

bool permit_issuer::may_issue(state::time_point now, std::string_view backend) const
{
    if (this->sets.empty() || now - this->sets.front().since < handover_time)
        return false;
    return std::all_of(this->sets.begin(), this->sets.end(),
                       [&](const gateway_set& item)
                       { return issuer_among(item.nodes, backend) == this->node; });
}

protocol::permit_grant permit_issuer::issue(state::time_point now,
                                            const protocol::permit_request& request)
{
    if (!this->may_issue(now, request.backend))
    {
        this->buckets.erase(request.backend);
        return {0, redirect_delay};
    }
    const auto [found, is_new] = this->buckets.try_emplace(request.backend);
    bucket& target = found->second;
    if (is_new)
        target.updated = now;
    const double per_s = std::max(request.per_s, min_rate_per_s);
    if (per_s > target.per_s)
        target.next_turn = now;
    target.per_s = per_s;
    const double elapsed_s = std::chrono::duration<double>(now - target.updated).count();
    target.tokens =
        std::min(target.tokens + elapsed_s * per_s, std::max(min_burst, per_s * burst_s));
    target.updated = now;
    const bool must_yield =
        !request.is_urgent && now - target.urgent_refused < urgent_time;
    const int available =
        static_cast<int>(std::min(target.tokens, static_cast<double>(request.count)));
    if (available > 0 && !must_yield)
    {
        target.tokens -= available;
        return {available, milliseconds(0)};
    }
    if (request.is_urgent)
        target.urgent_refused = now;
    return {0, wait_time(now, target, per_s)};
}

/// Gateways that are refused get successive turns, so that they do not all request again
/// when the next permit becomes available.
milliseconds permit_issuer::wait_time(state::time_point now, bucket& target, double per_s)
{
    const state::time_point next_permit =
        now + to_ms(std::max(1.0 - target.tokens, 0.0) / per_s);
    const state::time_point latest = now + longest_wait;
    const state::time_point turn =
        std::min(std::max(next_permit, target.next_turn), latest);
    target.next_turn = std::min(turn + to_ms(1.0 / per_s), latest);
    return std::max(std::chrono::ceil<milliseconds>(turn - now), milliseconds(1));
}

void permit_issuer::forget_idle(state::time_point now)
{
    std::erase_if(this->buckets, [now](const auto& item)
                  { return now - item.second.updated > bucket_lifetime; });
}

} // namespace pomelorouter::coordination
