#include "protocol/stream_origin_notice.hpp"

#include "protocol/compact_codec.hpp"
#include "state/error.hpp"

#include <peer_types.h>

#include <algorithm>

namespace pomelorouter::protocol
{

namespace
{

constexpr const char* place = "stream origins";
/// First byte of the datagram, where a heartbeat has its format version.
constexpr char notice_tag = 'o';
constexpr std::size_t max_datagram_bytes = 64 * 1024;

} // namespace

bool is_origin_notice(std::string_view datagram)
{
    return !datagram.empty() && datagram.front() == notice_tag;
}

std::string encode_origin_notice(const std::vector<stream_origin>& origins)
{
    gen::StreamOrigins wire;
    for (const stream_origin& origin : origins)
    {
        if (origin.attempt.empty() || origin.attempt.size() > max_origin_text ||
            origin.software.size() > max_origin_text)
            continue;
        if (wire.origins.size() == max_origins_per_notice)
            break;
        gen::StreamOrigin& item = wire.origins.emplace_back();
        item.__set_attempt(origin.attempt);
        item.__set_software(origin.software);
    }
    return notice_tag + internal::encode_compact(wire);
}

std::vector<stream_origin> decode_origin_notice(std::string_view datagram)
{
    if (!is_origin_notice(datagram))
        throw state::error(state::error_code::malformed_frame, place,
                           "expected a notice of stream origins");
    const auto wire = internal::decode_compact<gen::StreamOrigins>(
        datagram.substr(1), place, max_datagram_bytes);
    const bool is_valid =
        wire.origins.size() <= max_origins_per_notice &&
        std::all_of(wire.origins.begin(), wire.origins.end(),
                    [](const gen::StreamOrigin& origin)
                    {
                        return !origin.attempt.empty() &&
                               origin.attempt.size() <= max_origin_text &&
                               origin.software.size() <= max_origin_text;
                    });
    if (!is_valid)
        throw state::error(state::error_code::out_of_range, place,
                           "expected at most 256 origins with texts of 128 bytes");
    std::vector<stream_origin> result;
    for (const gen::StreamOrigin& origin : wire.origins)
        result.push_back({origin.attempt, origin.software});
    return result;
}

} // namespace pomelorouter::protocol
