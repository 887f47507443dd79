#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace pomelorouter::protocol
{

/// Cuts a body of server-sent events into the data of its events.
class sse_parser
{
public:
    /// Adds bytes of the body; throws `state::error` if one event grows too large.
    void feed(std::string_view bytes);
    /// Returns the data of the next whole event, or nothing if more bytes are needed.
    std::optional<std::string> next();

private:
    std::string buffer;
    std::size_t position = 0;
};

} // namespace pomelorouter::protocol
