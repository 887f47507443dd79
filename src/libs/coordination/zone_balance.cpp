#include "coordination/zone_balance.hpp"

#include <algorithm>
#include <cstdlib>
#include <utility>

namespace pomelorouter::coordination
{

namespace
{

/// Change of a share by one update.
constexpr double share_step = 0.1;
/// Updates in a row that have to agree before a share moves. Loads of other zones are up
/// to 0.6 s old; a shorter agreement would act twice on the same figure.
constexpr int min_trend = 2;
/// The share grows while the own zone uses this much more of its slots than the others,
/// and shrinks below the lower limit. Between them it stays.
constexpr double high_difference = 0.2;
constexpr double low_difference = -0.05;
/// From the first use of its slots on, a zone may lack room for its own requests; below
/// the second it has room.
constexpr double min_crowding = 0.5;
constexpr double low_crowding = 0.4;
/// Weight of the newest figure in the mean that decides. Single figures vary with each
/// request.
constexpr double newest_weight = 0.12;
/// Older figures decide nothing.
constexpr state::milliseconds figure_lifetime{2000};
/// Assumed bytes of a token in a prompt, and of one in an event of a stream.
constexpr double bytes_per_prompt_token = 4.0;
constexpr double bytes_per_output_token = 50.0;
/// Assumed bytes of a request and its response apart from tokens.
constexpr double base_bytes = 2000.0;
constexpr double bytes_per_mb = 1.0e6;

double crowding(const zone_load& load)
{
    return load.slots > 0.0 ? load.active / load.slots : 0.0;
}

} // namespace

double request_bytes(std::uint32_t prompt_tokens, std::uint32_t output_tokens)
{
    return base_bytes + prompt_tokens * bytes_per_prompt_token +
           output_tokens * bytes_per_output_token;
}

zone_balance::zone_balance(std::string own_zone, const zone_prices& zone_costs)
    : zone(std::move(own_zone)), prices(zone_costs)
{
}

void zone_balance::update(state::time_point now, state::time_point reported_at,
                          const std::string& service, const load_map& loads)
{
    // Without reports the loads are those of this gateway alone, which would look like
    // room in every zone.
    if (now - reported_at > figure_lifetime)
        return;
    zone_load home;
    zone_load others;
    for (const auto& [name, load] : loads)
    {
        zone_load& sum = this->is_own(name) ? home : others;
        sum.active += load.active;
        sum.slots += load.slots;
    }
    if (home.slots <= 0.0 || others.slots <= 0.0)
    {
        // There is no choice, so no figure vouches for a share.
        this->services.erase(service);
        return;
    }
    const auto [entry, is_new] = this->services.try_emplace(service);
    service_state& state = entry->second;
    state.updated = reported_at;
    const double weight = is_new ? 1.0 : newest_weight;
    state.home += weight * (crowding(home) - state.home);
    state.others += weight * (crowding(others) - state.others);
    const double difference = state.home - state.others;
    int direction = 0;
    if (state.home >= min_crowding && difference > high_difference)
        direction = 1;
    else if (state.home < low_crowding || difference < low_difference)
        direction = -1;
    const bool continues = direction * state.trend > 0;
    state.trend = continues ? state.trend + direction : direction;
    if (std::abs(state.trend) >= min_trend)
        state.share = std::clamp(state.share + direction * share_step, 0.0, 1.0);
}

double zone_balance::cost_ms(state::time_point now, std::string_view service,
                             std::string_view other, double expected_ms, double target_ms,
                             double bytes, double draw) const
{
    const double hop = this->is_own(other) ? 0.0 : this->prices.hop_ms;
    const auto found = this->services.find(service);
    if (found == this->services.end() || now - found->second.updated > figure_lifetime ||
        draw < found->second.share)
        return hop;
    // A request that would be late in its own zone costs as much there, so that the price
    // never keeps it from a zone that can serve it in time.
    const bool is_late = expected_ms + hop > target_ms;
    const bool is_priced = !this->is_own(other) || is_late;
    return hop + (is_priced ? bytes / bytes_per_mb * this->prices.ms_per_mb : 0.0);
}

double zone_balance::share(std::string_view service) const
{
    const auto found = this->services.find(service);
    return found == this->services.end() ? 0.0 : found->second.share;
}

} // namespace pomelorouter::coordination
