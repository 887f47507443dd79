#pragma once

#include <boost/asio/awaitable.hpp>

#include <string>

namespace pomelorouter::app
{

/// Receives the tokens of an attempt.
class token_sink
{
public:
    virtual ~token_sink() = default;

    virtual void add(const std::string& text) = 0;
    /// Writes what was added; throws `boost::system::system_error` if the caller has
    /// disconnected.
    virtual boost::asio::awaitable<void> flush() = 0;
};

} // namespace pomelorouter::app
