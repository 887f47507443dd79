#pragma once

#include <boost/asio/awaitable.hpp>

#include <string>

namespace pomelorouter::app
{

/// Takes the tokens of an attempt.
class token_sink
{
public:
    virtual ~token_sink() = default;

    virtual void add(const std::string& text) = 0;
    /// Passes on what was added; throws `boost::system::system_error` if the caller has
    /// gone.
    virtual boost::asio::awaitable<void> flush() = 0;
};

} // namespace pomelorouter::app
