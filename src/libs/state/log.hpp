#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace pomelorouter::state
{

/// Severity of a log line.
enum class log_level
{
    debug,
    info,
    warning,
    error,
};

/// Writes log lines of at least the level `minimum` to standard error, each with the
/// process name.
void init_logging(const std::string& process, log_level minimum);

/// One log line of key=value pairs. The destructor writes the line.
class log_event
{
public:
    log_event(log_level level, std::string_view event);
    ~log_event();
    log_event(const log_event&) = delete;
    log_event& operator=(const log_event&) = delete;

    log_event& field(std::string_view key, std::string_view value);
    log_event& field(std::string_view key, const char* value);
    log_event& field(std::string_view key, std::int64_t value);
    log_event& field(std::string_view key, std::uint64_t value);
    log_event& field(std::string_view key, int value);
    log_event& field(std::string_view key, bool value);
    log_event& field(std::string_view key, double value);

private:
    log_level level;
    std::string line;
};

} // namespace pomelorouter::state
