#pragma once

#include "state/log.hpp"

#include <cstdint>
#include <string>

namespace pomelorouter::state
{

/// Directs log lines to standard output, from `minimum` up, at most `lines_per_s` of them
/// and never waiting for a reader. Warnings and errors have a budget of their own, of the
/// same size. Once a second a line says how many lines of each event were left out.
void init_bounded_logging(const std::string& process, log_level minimum,
                          std::int64_t lines_per_s);

} // namespace pomelorouter::state
