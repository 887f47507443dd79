#pragma once

#include "coordination/report_source.hpp"
#include "state/clock.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace pomelorouter::coordination
{

/// Units of a team's allowance per second.
struct team_rates
{
    double asked_per_s = 0.0;
    double admitted_per_s = 0.0;
};

/// Use of allowances by a number of gateways.
struct team_usage_report
{
    std::uint32_t gateways = 0;
    std::map<std::string, team_rates, std::less<>> teams;

    team_usage_report& operator+=(const team_usage_report& more);
    team_usage_report& operator-=(const team_usage_report& part);
};

/// A report is ignored after this time.
inline constexpr state::milliseconds team_report_lifetime{1500};

/// The newest report of the use of allowances from each source. Each sum tells how many
/// gateways it contains, so that a receiver notices that some are missing.
class team_usage_reports
{
public:
    void set_peer(state::time_point now, const report_source& peer,
                  team_usage_report report);
    void forget_peer(const report_source& peer) { this->peers.erase(peer); }
    void forget_peers() { this->peers.clear(); }

    /// Sum of all other gateways.
    team_usage_report others(state::time_point now) const;
    /// Sum of the other gateways of the own availability zone. For aggregators.
    team_usage_report zone(state::time_point now) const;
    /// The report of one source; empty if there is no recent one.
    team_usage_report report_of(state::time_point now, const report_source& peer) const;

private:
    struct received_report
    {
        state::time_point received{};
        team_usage_report report;
    };

    std::map<report_source, received_report> peers;
};

} // namespace pomelorouter::coordination
