#include "coordination/team_usage_reports.hpp"

#include <algorithm>
#include <utility>

namespace pomelorouter::coordination
{

team_usage_report& team_usage_report::operator+=(const team_usage_report& more)
{
    this->gateways += more.gateways;
    for (const auto& [team, rates] : more.teams)
    {
        team_rates& sum = this->teams[team];
        sum.asked_per_s += rates.asked_per_s;
        sum.admitted_per_s += rates.admitted_per_s;
    }
    return *this;
}

team_usage_report& team_usage_report::operator-=(const team_usage_report& part)
{
    this->gateways -= std::min(this->gateways, part.gateways);
    for (const auto& [team, rates] : part.teams)
    {
        const auto found = this->teams.find(team);
        if (found == this->teams.end())
            continue;
        team_rates& sum = found->second;
        sum.asked_per_s -= std::min(sum.asked_per_s, rates.asked_per_s);
        sum.admitted_per_s -= std::min(sum.admitted_per_s, rates.admitted_per_s);
    }
    return *this;
}

void team_usage_reports::set_peer(state::time_point now, const report_source& peer,
                                  team_usage_report report)
{
    this->peers[peer] = {now, std::move(report)};
}

team_usage_report team_usage_reports::others(state::time_point now) const
{
    team_usage_report sum;
    for (const auto& [peer, item] : this->peers)
    {
        if (now - item.received <= team_report_lifetime)
            sum += item.report;
    }
    return sum;
}

team_usage_report team_usage_reports::zone(state::time_point now) const
{
    team_usage_report sum;
    for (const auto& [peer, item] : this->peers)
    {
        if (peer.scope == protocol::load_scope::gateway &&
            now - item.received <= team_report_lifetime)
            sum += item.report;
    }
    return sum;
}

team_usage_report team_usage_reports::report_of(state::time_point now,
                                                const report_source& peer) const
{
    const auto found = this->peers.find(peer);
    const bool is_recent = found != this->peers.end() &&
                           now - found->second.received <= team_report_lifetime;
    return is_recent ? found->second.report : team_usage_report{};
}

} // namespace pomelorouter::coordination
