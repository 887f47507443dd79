#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace pomelorouter::protocol
{

/// The software version that began a stream.
struct stream_origin
{
    /// Id of the attempt that brought the first event.
    std::string attempt;
    std::string software;
};

/// Most streams in one datagram.
inline constexpr std::size_t max_origins_per_notice = 256;
/// Longest attempt id, or version, that is passed on.
inline constexpr std::size_t max_origin_text = 128;

/// Whether a datagram is a notice of stream origins, and not a heartbeat.
bool is_origin_notice(std::string_view datagram);
/// Leaves out what exceeds the limits above.
std::string encode_origin_notice(const std::vector<stream_origin>& origins);
/// Throws `state::error` (`malformed_frame`, `unsupported_version`, `out_of_range`).
std::vector<stream_origin> decode_origin_notice(std::string_view datagram);

} // namespace pomelorouter::protocol
