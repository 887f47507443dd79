#pragma once

#include "state/clock.hpp"

#include <sys/types.h>

#include <optional>
#include <string>
#include <vector>

namespace pomelorouter::scenario
{

/// A program of this build that the runner starts and ends. The kernel kills it if the
/// runner ends for any reason.
class child_process
{
public:
    /// Writes the output to `log_path`. Throws if no address is printed within 20 s.
    child_process(const std::vector<std::string>& command, const std::string& log_path);
    ~child_process();
    child_process(const child_process&) = delete;
    child_process& operator=(const child_process&) = delete;

    pid_t pid() const { return this->child; }
    /// Address from the `listening ip:port` line of the program.
    const std::string& address() const { return this->listen_address; }
    bool is_running();
    void signal(int number) const;
    /// Waits for the end of the process. Returns the exit code, the negated signal
    /// number, or nothing if the process still runs after `limit`.
    std::optional<int> wait(state::milliseconds limit);

private:
    void read_address();

    pid_t child = -1;
    std::string log_path;
    std::string listen_address;
    std::optional<int> exit_code;
};

} // namespace pomelorouter::scenario
