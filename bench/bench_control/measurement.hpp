#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace pomelorouter::bench
{

/// Cost of one operation at one size of its input.
struct measurement
{
    std::string operation;
    /// Number of the items that the text of `operation` names in parentheses.
    std::int64_t size = 0;
    double microseconds = 0.0;
    /// Encoded size or heap memory in use, depending on the operation; 0 if neither
    /// applies.
    std::int64_t bytes = 0;
};

/// Calls `operation` repeatedly in three runs of a fixed minimum duration and returns the
/// mean time of a call in the fastest run, which other load on the machine disturbed
/// least.
double microseconds_per_call(const std::function<void()>& operation);

/// Returns the heap bytes in use by this process.
std::int64_t heap_bytes();

/// Prints the measurements and, for each operation, the straight lines that fit its time
/// and its bytes as functions of the size.
void print_slopes(const std::vector<measurement>& measurements);

} // namespace pomelorouter::bench
