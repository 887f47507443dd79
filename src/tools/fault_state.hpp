#pragma once

#include "state/clock.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace pomelorouter::tools
{

/// Whether a stand-in serves.
enum class outage
{
    none,
    /// Every request is answered with 503.
    unavailable,
    /// The port is closed for a time; connections are refused.
    refused,
};

/// What a stand-in does about being told that it leaves.
enum class leaving_mode
{
    no,
    /// Serves on, and records new work.
    noted,
    /// Refuses new work with `leaving`, and records it.
    refuse,
};

/// Faults that a stand-in shows, set by `POST /control/faults`. Members that the body
/// does not name keep their value.
struct fault_state
{
    outage down = outage::none;
    /// Length of an outage; 0 means until the next change.
    state::milliseconds down_for{0};
    double slow_factor = 1.0;
    state::milliseconds delay{0};
    state::milliseconds late{0};
    bool frozen = false;
    /// Connections with a number up to this one are silent for good.
    std::uint64_t silent_up_to = 0;
    std::string lose_path;
    std::int64_t lose_count = 0;
    /// `id` or `index`.
    std::string crossed_kind;
    std::int64_t crossed_count = 0;
    std::int64_t break_after = 0;
    std::int64_t break_count = 0;
    leaving_mode leaving = leaving_mode::no;
    /// When the stand-in was told that it leaves.
    state::time_point leaving_since{};
    bool refuse = false;

    /// Returns whether the answer to this path is to be lost, and counts it.
    bool take_lost_answer(std::string_view path);
    /// Returns the kind of the next crossed stream, or an empty string.
    std::string take_crossed();
    /// Returns after how many pieces the next stream breaks off, or -1.
    std::int64_t take_break();
};

/// Applies the body of `POST /control/faults`; `newest_connection` is the highest number
/// of a connection so far. Throws `state::error` and changes nothing if it is invalid.
void apply_faults(fault_state& faults, std::string_view body,
                  std::uint64_t newest_connection);

} // namespace pomelorouter::tools
