#pragma once

#include <random>
#include <string>

namespace pomelorouter::app
{

/// Generates random 128-bit request ids.
class request_id_source
{
public:
    request_id_source();

    /// Returns a new id as 32 hexadecimal digits.
    std::string next();

private:
    std::mt19937_64 generator;
};

} // namespace pomelorouter::app
