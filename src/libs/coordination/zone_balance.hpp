#pragma once

#include "state/clock.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace pomelorouter::coordination
{

/// Load of the backend servers of one service in one availability zone.
struct zone_load
{
    double active = 0.0;
    double slots = 0.0;
};

/// Prices of a request to a backend server in another availability zone, as waiting time
/// that is worth avoiding it.
struct zone_prices
{
    /// Round trip to another availability zone.
    double hop_ms = 3.0;
    double ms_per_mb = 2000.0;
};

/// Decides when leaving the availability zone pays, and which share of the requests may
/// leave it without regard to the price of their bytes.
class zone_balance
{
public:
    using load_map = std::map<std::string, zone_load, std::less<>>;

    explicit zone_balance(std::string own_zone, const zone_prices& zone_costs = {});

    /// Changes the price of traffic between availability zones.
    void set_price(double ms_per_mb) { this->prices.ms_per_mb = ms_per_mb; }
    /// Moves the share of a service by at most one step.
    void update(state::time_point now, const std::string& service, const load_map& loads);
    /// Returns the cost of sending a request to a backend server of `zone`, in
    /// milliseconds. `expected_ms` is the time to first byte there, `draw` a random
    /// number in [0, 1) of the request.
    double cost_ms(state::time_point now, std::string_view service, std::string_view zone,
                   double expected_ms, double target_ms, double bytes, double draw) const;
    /// Share of the requests that leave the zone without regard to the price.
    double share(std::string_view service) const;
    bool is_own(std::string_view other) const { return other == this->zone; }

private:
    struct service_state
    {
        double share = 0.0;
        /// Use of the slots in the own zone and in the others, as a moving mean.
        double home = 0.0;
        double others = 0.0;
        /// Consecutive updates that called for a larger (positive) or smaller share.
        int trend = 0;
        state::time_point updated{};
    };

    std::string zone;
    zone_prices prices;
    std::map<std::string, service_state, std::less<>> services;
};

/// Bytes of a request and its response between zones, from its tokens; a plain service
/// has none.
double request_bytes(std::uint32_t prompt_tokens, std::uint32_t output_tokens);

} // namespace pomelorouter::coordination
