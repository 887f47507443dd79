#include "protocol/peer_codec.hpp"
#include "state/error.hpp"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <string_view>

using pomelorouter::protocol::decode_peer_body;
using pomelorouter::protocol::decode_peer_header;
using pomelorouter::protocol::peer_frame_header;
using pomelorouter::state::error;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    try
    {
        peer_frame_header header{};
        if (size >= header.size())
        {
            std::copy_n(data, header.size(), header.begin());
            decode_peer_header(header);
        }
    }
    catch (const error&)
    {
        // The codec must report malformed input by this exception only.
    }
    try
    {
        decode_peer_body(std::string_view(reinterpret_cast<const char*>(data), size));
    }
    catch (const error&)
    {
    }
    return 0;
}
