#pragma once

#include "state/log.hpp"

#include <cstdint>
#include <string>

namespace pomelorouter::state
{

/// Writes log lines of at least the level `minimum` to standard output, at most
/// `lines_per_s` per second. Warnings and errors have a separate limit of the same size,
/// and the first few lines of each event in a second do not count towards a limit.
/// Never blocks: a line that the descriptor does not accept at once is dropped. A summary
/// line, at most once per second, counts the dropped lines of each event.
void init_rate_limited_logging(const std::string& process, log_level minimum,
                               std::int64_t lines_per_s);

/// Changes the limits of `init_rate_limited_logging()`; without it, does nothing.
void set_log_limits(log_level minimum, std::int64_t lines_per_s);

} // namespace pomelorouter::state
