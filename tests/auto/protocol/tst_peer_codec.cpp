#include "protocol/peer_codec.hpp"

#include "state/error.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <random>

namespace
{

using namespace pomelorouter::protocol; // NOLINT(google-build-using-namespace): test file
using pomelorouter::state::error;
using pomelorouter::state::error_code;

constexpr std::uint64_t largest = 0x7fff'ffff'ffff'ffffULL;

heartbeat full_heartbeat()
{
    heartbeat message;
    message.origin = {"node-1", largest, 17, true, false, false};
    message.settings_offset = 4;
    message.settings_version = 2;
    message.peers_heard = 5;
    message.others = {{"node-2", 1, 2, false, true, false},
                      {"node-3", 3, 4, true, false, true}};
    message.leaving = {{"engine-1", 9}};
    message.demand = {{"assistants", 12}};
    message.peer_address = "127.0.0.1:7001";
    return message;
}

peer_envelope decode(const std::string& frame)
{
    peer_frame_header header{};
    REQUIRE(frame.size() >= header.size());
    std::copy_n(frame.begin(), header.size(), header.begin());
    REQUIRE(decode_peer_header(header) == frame.size() - header.size());
    return decode_peer_body(std::string_view(frame).substr(header.size()));
}

template <typename Call>
error_code code_of(const Call& call)
{
    try
    {
        call();
    }
    catch (const error& failure)
    {
        return failure.code();
    }
    return error_code::internal;
}

} // namespace

// Guards against a field that is lost or swapped between encoder and decoder.
TEST_CASE("each decoded message equals the encoded one")
{
    const std::vector<peer_message> messages{
        full_heartbeat(), heartbeat{}, settings_pull{7},
        settings_state{std::string("{\"version\":1}\0x", 15)}};
    for (const peer_message& message : messages)
    {
        const peer_envelope envelope{"node-1", message};
        CHECK(decode(encode_peer_frame(envelope)) == envelope);
    }
}

// Guards against a malformed header that is accepted or leads to a huge allocation.
TEST_CASE("a malformed frame header is rejected with a typed error")
{
    struct row
    {
        peer_frame_header header;
        error_code expected;
    };
    const std::vector<row> rows{
        {{0, 0, 0, 0, 1}, error_code::malformed_frame},
        {{0x7f, 0, 0, 0, 1}, error_code::too_large},
        {{'\xff', '\xff', '\xff', '\xff', 1}, error_code::too_large},
        {{0, 0x10, 0, 2, 1}, error_code::too_large},
        {{0, 0, 0, 2, 2}, error_code::unsupported_version},
        {{0, 0, 0, 2, 0}, error_code::unsupported_version},
    };
    for (const row& item : rows)
        CHECK(code_of([&] { decode_peer_header(item.header); }) == item.expected);
    CHECK(decode_peer_header({0, 0x10, 0, 1, 1}) == peer_frame_max_bytes);
}

// Guards against settings that exceed the frame limit, which would break the connection.
TEST_CASE("encoding a message above the size limit fails")
{
    const peer_envelope envelope{
        "n", settings_state{std::string(peer_frame_max_bytes + 1, 'x')}};
    CHECK(code_of([&] { encode_peer_frame(envelope); }) == error_code::too_large);
}

// Guards against a truncated or altered body that crashes the process or exhausts memory.
TEST_CASE("truncated bodies are rejected and altered bodies do not crash the decoder")
{
    const std::string frame = encode_peer_frame({"node-1", full_heartbeat()});
    const std::string body = frame.substr(peer_frame_header_bytes);
    for (std::size_t size = 0; size < body.size(); ++size)
    {
        CHECK(
            code_of([&] { decode_peer_body(std::string_view(body).substr(0, size)); }) ==
            error_code::malformed_frame);
    }
    CHECK(code_of([&] { decode_peer_body(body + "x"); }) == error_code::malformed_frame);
    std::mt19937_64 generator(11); // fixed seed, for reproducible runs
    for (int round = 0; round < 20000; ++round)
    {
        std::string altered = body;
        for (int change = 0; change < 1 + round % 4; ++change)
            altered[generator() % altered.size()] = static_cast<char>(generator());
        try
        {
            decode_peer_body(altered);
        }
        catch (const error& failure)
        {
            CHECK(failure.code() == error_code::malformed_frame);
        }
    }
}
