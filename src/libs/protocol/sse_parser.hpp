#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace pomelorouter::protocol
{

/// Splits a body of server-sent events and returns the data of each event.
class sse_parser
{
public:
    /// Adds bytes of the body. Throws `state::error` (`too_large`) if more than 1 MiB has
    /// not been read.
    void feed(std::string_view bytes);
    /// Returns the data of the next event, or `std::nullopt` if it is incomplete.
    std::optional<std::string> next();

private:
    std::string buffer;
    std::size_t position = 0;
};

} // namespace pomelorouter::protocol
