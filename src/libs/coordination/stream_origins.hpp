#pragma once

#include "state/clock.hpp"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace pomelorouter::coordination
{

/// Remembers for at least `ttl` which software version began the streams of callers, by
/// the id of the attempt that brought the first event. With more than `max_streams` in
/// that time the oldest are forgotten.
class stream_origins
{
public:
    static constexpr state::seconds ttl{30};
    static constexpr std::size_t max_streams = 8192;

    void add(state::time_point now, const std::string& attempt,
             const std::string& software);
    std::optional<std::string> find(std::string_view attempt) const;
    void forget_old(state::time_point now);
    std::size_t size() const { return this->current.size() + this->earlier.size(); }

private:
    using origin_map = std::map<std::string, std::string, std::less<>>;

    void rotate(state::time_point now);

    /// Streams that began since `begun`, and those of the time before.
    origin_map current;
    origin_map earlier;
    state::time_point begun{};
};

/// Software versions that a service had recently.
class software_history
{
public:
    /// Records that backend servers of `service` with this version are known at `now`.
    void on_seen(state::time_point now, const std::string& service,
                 const std::string& software);
    /// Returns the only version that was seen in the last `span`; nothing if there were
    /// several, or if the service is not known for so long.
    std::optional<std::string> only_version(state::time_point now,
                                            std::string_view service,
                                            state::milliseconds span) const;
    /// The same, also if the service has been known for a shorter time.
    std::optional<std::string> only_seen(state::time_point now, std::string_view service,
                                         state::milliseconds span) const;
    /// Drops versions that were last seen before `oldest`.
    void forget(state::time_point oldest);

private:
    struct seen_times
    {
        state::time_point first{};
        state::time_point last{};
    };

    std::map<std::string, std::map<std::string, seen_times>, std::less<>> services;
};

/// Returns which of the nodes keep a copy of the origin of a stream, most preferred
/// first. All gateways with the same list of nodes get the same order.
std::vector<std::string> origin_keepers(std::string_view attempt,
                                        const std::vector<std::string>& nodes,
                                        std::size_t count);

} // namespace pomelorouter::coordination
