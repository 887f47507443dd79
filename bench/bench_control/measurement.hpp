#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace pomelorouter::bench
{

/// Cost of one operation at one size.
struct measurement
{
    std::string operation;
    std::int64_t size = 0;
    double microseconds = 0.0;
    /// Encoded size, or memory held, where the operation has one.
    std::int64_t bytes = 0;
};

/// Runs `body` for at least a fixed time, three times, and keeps the quickest run, which
/// is the one least disturbed by other load on the machine.
double microseconds_per_call(const std::function<void()>& body);

/// Heap bytes in use by this process.
std::int64_t heap_bytes();

/// Prints the measurements and, for each operation, the line through its sizes.
void print_slopes(const std::vector<measurement>& measurements);

} // namespace pomelorouter::bench
