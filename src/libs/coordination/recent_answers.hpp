#pragma once

#include "state/clock.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <tuple>

namespace pomelorouter::coordination
{

/// A prompt part of the requests to one service.
struct part_key
{
    std::string service;
    std::uint64_t part = 0;

    bool operator==(const part_key&) const = default;
    bool operator<(const part_key& other) const
    {
        return std::tie(this->part, this->service) < std::tie(other.part, other.service);
    }
};

/// Remembers for at least `ttl` when answers on prompt parts last began. With more than
/// `max_parts` in that time the oldest are forgotten.
class recent_answers
{
public:
    static constexpr state::seconds ttl{2};
    static constexpr std::size_t max_parts = 2048;

    void add(state::time_point now, const part_key& key);
    std::optional<state::time_point> find(const part_key& key) const;
    void forget_old(state::time_point now);
    std::size_t size() const { return this->current.size() + this->earlier.size(); }

private:
    using time_map = std::map<part_key, state::time_point>;

    void rotate(state::time_point now);

    /// Parts answered since `begun`, and those of the time before.
    time_map current;
    time_map earlier;
    state::time_point begun{};
};

} // namespace pomelorouter::coordination
