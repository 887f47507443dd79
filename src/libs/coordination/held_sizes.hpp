#pragma once

#include "state/backend_entry.hpp"
#include "state/clock.hpp"
#include "state/gateway_config.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace pomelorouter::coordination
{

/// Memory that a model, and each of its adapters, takes on an engine.
struct weight_size
{
    double weight_mb = 0.0;
    double adapter_mb = 0.0;

    bool operator==(const weight_size&) const = default;
};

/// Returns the larger size of each kind.
weight_size larger(const weight_size& left, const weight_size& right);

/// Remembers the sizes of models that engines may have loaded before a configuration
/// retired the models or made them smaller, or before the service of an engine changed.
/// A model keeps its size on an engine until it is loaded anew, or was absent for
/// `absence_time`.
class held_sizes
{
public:
    using profile_ptr = std::shared_ptr<const state::engine_profile>;
    using size_map = std::map<std::string, weight_size, std::less<>>;

    /// Exceeds the time of a load that began under the configuration before, and the time
    /// for which an engine may be missing from the list of backend servers.
    static constexpr state::seconds absence_time{60};

    /// Records the models that an engine process holds, and the profile of its service,
    /// which is null if the service has none.
    void observe(state::time_point now, std::string_view engine, std::int64_t incarnation,
                 const std::vector<state::loaded_model>& models,
                 const profile_ptr& profile);
    /// Records that the engine accepted an order to load a model of this size.
    void on_load(state::time_point now, std::string_view engine, const std::string& model,
                 const weight_size& size);
    /// Drops what was not observed for `absence_time`. To be called after the engines
    /// were observed.
    void forget_old(state::time_point now);

    /// Returns the sizes that models on the engine may have besides those in the profile.
    size_map sizes_of(std::string_view engine) const;

private:
    struct held_size
    {
        weight_size size;
        state::time_point last_held{};
    };
    struct engine_record
    {
        std::int64_t incarnation = 0;
        profile_ptr profile;
        state::time_point last_seen{};
        std::map<std::string, held_size, std::less<>> sizes;
    };

    static void add(state::time_point now, engine_record& target,
                    const std::string& model, const weight_size& size);
    const size_map& smaller_sizes(state::time_point now, const profile_ptr& before,
                                  const profile_ptr& after);

    std::map<std::string, engine_record, std::less<>> engines;
    /// Sizes before the changes of the last `absence_time`, for models whose load was in
    /// progress at the time of the change.
    std::map<std::string, held_size, std::less<>> recent;
    /// Sizes before a change of the profile, for the engines that are observed next.
    std::map<std::pair<profile_ptr, profile_ptr>, size_map> changes;
};

} // namespace pomelorouter::coordination
