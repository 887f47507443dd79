#pragma once

#include "state/clock.hpp"

#include <sys/types.h>

#include <optional>
#include <string>
#include <vector>

namespace pomelorouter::scenario
{

/// A program of this build, started and ended by the runner. The kernel kills it if the
/// runner dies on any path.
class child_process
{
public:
    /// Output goes to `log_path`; throws if the program prints no address in time.
    child_process(const std::vector<std::string>& command, const std::string& log_path);
    ~child_process();
    child_process(const child_process&) = delete;
    child_process& operator=(const child_process&) = delete;

    pid_t pid() const { return this->child; }
    /// From its `listening ip:port` line.
    const std::string& address() const { return this->listen_address; }
    bool is_running();
    void signal(int number) const;
    /// Waits for the end; returns the exit code, -signal, or nothing if it still runs.
    std::optional<int> wait(state::milliseconds limit);

private:
    void read_address();

    pid_t child = -1;
    std::string log_path;
    std::string listen_address;
    std::optional<int> exit_code;
};

} // namespace pomelorouter::scenario
