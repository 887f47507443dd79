#include "child_process.hpp"

#include "state/process_settings.hpp"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <stdexcept>
#include <thread>

namespace pomelorouter::scenario
{

namespace
{

constexpr state::milliseconds poll_period{5};
constexpr state::milliseconds start_timeout{20000};
constexpr int file_mode = 0644;

[[noreturn]] void run_child(const std::vector<std::string>& command, int output)
{
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    ::dup2(output, STDOUT_FILENO);
    ::dup2(output, STDERR_FILENO);
    // Otherwise the child would inherit the runner's sockets, and they would stay open
    // after the runner has closed them.
    ::close_range(STDERR_FILENO + 1, ~0U, 0);
    std::vector<char*> arguments;
    for (const std::string& word : command)
        arguments.push_back(const_cast<char*>(word.c_str())); // NOLINT: execv's signature
    arguments.push_back(nullptr);
    ::execv(arguments[0], arguments.data());
    ::_exit(127);
}

} // namespace

child_process::child_process(const std::vector<std::string>& command,
                             const std::string& output_path)
    : log_path(output_path)
{
    const int output =
        ::open(output_path.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, file_mode);
    if (output < 0)
        throw std::runtime_error("cannot open log file for writing: " + output_path);
    this->child = ::fork();
    if (this->child == 0)
        run_child(command, output);
    ::close(output);
    if (this->child < 0)
        throw std::runtime_error("cannot start the program: fork failed");
    try
    {
        this->read_address();
    }
    catch (...)
    {
        this->signal(SIGKILL);
        this->wait(start_timeout);
        throw;
    }
}

child_process::~child_process()
{
    if (!this->is_running())
        return;
    this->signal(SIGKILL);
    this->wait(start_timeout);
}

void child_process::read_address()
{
    // Matched at the start of a line, because nodes also print "peer_listening ip:port".
    const std::string prefix = "\nlistening ";
    const auto deadline = std::chrono::steady_clock::now() + start_timeout;
    while (std::chrono::steady_clock::now() < deadline)
    {
        const std::string output = "\n" + state::read_file(this->log_path);
        const std::size_t start = output.find(prefix);
        const std::size_t end =
            start == std::string::npos ? start : output.find('\n', start + prefix.size());
        if (start != std::string::npos && end != std::string::npos)
        {
            this->listen_address =
                output.substr(start + prefix.size(), end - start - prefix.size());
            return;
        }
        if (!this->is_running())
            break;
        std::this_thread::sleep_for(poll_period);
    }
    throw std::runtime_error("the program exited or printed no listening address: " +
                             state::read_file(this->log_path));
}

bool child_process::is_running()
{
    return !this->wait(state::milliseconds(0)).has_value();
}

void child_process::signal(int number) const
{
    if (this->child > 0 && !this->exit_code)
        ::kill(this->child, number);
}

std::optional<int> child_process::wait(state::milliseconds limit)
{
    const auto deadline = std::chrono::steady_clock::now() + limit;
    while (!this->exit_code)
    {
        int status = 0;
        if (::waitpid(this->child, &status, WNOHANG) == this->child)
            this->exit_code = WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
        else if (std::chrono::steady_clock::now() >= deadline)
            break;
        else
            std::this_thread::sleep_for(poll_period);
    }
    return this->exit_code;
}

} // namespace pomelorouter::scenario
