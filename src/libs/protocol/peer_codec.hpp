#pragma once

#include "protocol/peer_messages.hpp"

#include <array>
#include <cstddef>
#include <string>
#include <string_view>

namespace pomelorouter::protocol
{

inline constexpr std::size_t peer_frame_header_bytes = 5;
/// Size limit of the body of a frame, without its version byte.
inline constexpr std::size_t peer_frame_max_bytes = 1024 * 1024;

using peer_frame_header = std::array<char, peer_frame_header_bytes>;

/// Encodes a message as a frame: length of version and body (4 bytes, big-endian),
/// version byte, body. Throws `state::error` (`too_large`) if the body exceeds the limit.
std::string encode_peer_frame(const peer_envelope& envelope);
/// Checks the header of a frame and returns the number of body bytes that follow it.
/// Throws `state::error` (`malformed_frame`, `too_large`, `unsupported_version`).
std::size_t decode_peer_header(const peer_frame_header& header);
/// Decodes the body of a frame; throws `state::error` (`malformed_frame`).
peer_envelope decode_peer_body(std::string_view body);

} // namespace pomelorouter::protocol
