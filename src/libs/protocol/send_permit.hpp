#pragma once

#include "state/clock.hpp"

#include <string>
#include <string_view>

namespace pomelorouter::protocol
{

/// Request of one gateway to another for permits to send requests to a backend server
/// with a limit.
struct permit_request
{
    /// Id and incarnation of the process.
    std::string backend;
    /// Newest limit that the sender knows, in requests per second.
    double per_s = 0.0;
    int count = 1;
    /// Whether requests wait that no other backend server can serve.
    bool is_urgent = false;
};

struct permit_grant
{
    int count = 0;
    /// Time until the next permits should be requested.
    state::milliseconds wait{0};
};

std::string encode_permit_request(const permit_request& request);
/// Throws `state::error` (`malformed_frame`, `unsupported_version`, `out_of_range`).
permit_request decode_permit_request(std::string_view body);
std::string encode_permit_grant(const permit_grant& grant);
/// Throws `state::error` (`malformed_frame`, `unsupported_version`, `out_of_range`).
permit_grant decode_permit_grant(std::string_view body);

} // namespace pomelorouter::protocol
