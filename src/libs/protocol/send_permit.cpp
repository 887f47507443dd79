#include "protocol/send_permit.hpp"

#include "protocol/compact_codec.hpp"
#include "state/error.hpp"

#include <peer_types.h>

#include <cmath>

namespace pomelorouter::protocol
{

namespace
{

constexpr const char* request_place = "permit request";
constexpr const char* grant_place = "permit grant";
constexpr std::size_t max_message_bytes = 1024;
constexpr int max_permits = 10000;
constexpr int max_wait_ms = 60000;

void check_range(bool is_valid, const char* place, const char* expected)
{
    if (!is_valid)
        throw state::error(state::error_code::out_of_range, place, expected);
}

} // namespace

std::string encode_permit_request(const permit_request& request)
{
    gen::PermitRequest wire;
    wire.__set_backend(request.backend);
    wire.__set_perSecond(request.per_s);
    wire.__set_count(request.count);
    wire.__set_urgent(request.is_urgent);
    return internal::encode_compact(wire);
}

permit_request decode_permit_request(std::string_view body)
{
    const auto wire = internal::decode_compact<gen::PermitRequest>(body, request_place,
                                                                   max_message_bytes);
    check_range(!wire.backend.empty(), request_place, "a backend server");
    check_range(std::isfinite(wire.perSecond) && wire.perSecond >= 0.0, request_place,
                "a limit of 0 or more");
    check_range(wire.count >= 1 && wire.count <= max_permits, request_place,
                "a count from 1 to 10000");
    return {wire.backend, wire.perSecond, wire.count, wire.urgent};
}

std::string encode_permit_grant(const permit_grant& grant)
{
    gen::PermitGrant wire;
    wire.__set_count(grant.count);
    wire.__set_waitMs(static_cast<std::int32_t>(grant.wait.count()));
    return internal::encode_compact(wire);
}

permit_grant decode_permit_grant(std::string_view body)
{
    const auto wire =
        internal::decode_compact<gen::PermitGrant>(body, grant_place, max_message_bytes);
    check_range(wire.count >= 0 && wire.count <= max_permits, grant_place,
                "a count from 0 to 10000");
    check_range(wire.waitMs >= 0 && wire.waitMs <= max_wait_ms, grant_place,
                "a wait from 0 to 60000 ms");
    return {wire.count, state::milliseconds(wire.waitMs)};
}

} // namespace pomelorouter::protocol
