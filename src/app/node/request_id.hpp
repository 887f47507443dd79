#pragma once

#include <random>
#include <string>

namespace pomelorouter::app
{

/// Makes the 128-bit ids that requests are told apart by.
class request_id_source
{
public:
    request_id_source();

    std::string next();

private:
    std::mt19937_64 generator;
};

} // namespace pomelorouter::app
