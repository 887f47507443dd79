#pragma once

#include "state/clock.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace pomelorouter::tools
{

/// Kind of outage of a stand-in.
enum class outage
{
    none,
    /// The stand-in answers every request with 503.
    unavailable,
    /// The port is closed for a given time; the kernel refuses connections.
    refused,
};

/// How a stand-in handles new work after it was told that it is leaving.
enum class leaving_mode
{
    no,
    /// Accepts new work and records its arrival.
    noted,
    /// Refuses new work with the error `leaving` and records its arrival.
    refuse,
};

/// Faults that a stand-in simulates, set by `POST /control/faults`. Members that the body
/// omits keep their value, except `outage_duration`, which is reset to 0.
struct fault_state
{
    outage current_outage = outage::none;
    /// 0 means until the next change.
    state::milliseconds outage_duration{0};
    double slow_factor = 1.0;
    state::milliseconds request_delay{0};
    state::milliseconds response_delay{0};
    bool frozen = false;
    /// Connections with a number up to this one stay silent permanently.
    std::uint64_t last_silent_connection = 0;
    std::string lost_response_path;
    std::int64_t lost_response_count = 0;
    /// Field of a chunk that gets a wrong value in a crossed stream: `id` or `index`.
    std::string crossed_kind;
    std::int64_t crossed_count = 0;
    std::int64_t break_after = 0;
    std::int64_t break_count = 0;
    leaving_mode leaving = leaving_mode::no;
    /// When the stand-in was told that it is leaving.
    state::time_point leaving_since{};
    bool refuse = false;

    /// Returns whether the response to this path is lost, and counts it.
    bool consume_lost_response(std::string_view path);
    /// Returns `crossed_kind` for the next stream and counts it, or an empty string if
    /// the stream is not crossed.
    std::string consume_crossed();
    /// Returns after how many pieces the next stream breaks off and counts it, or -1 if
    /// it does not.
    std::int64_t consume_break();
};

/// Applies the body of `POST /control/faults`; `newest_connection` is the highest
/// connection number so far. Throws `state::error` and changes nothing if the body is
/// invalid.
void apply_faults(fault_state& faults, std::string_view body,
                  std::uint64_t newest_connection);

} // namespace pomelorouter::tools
