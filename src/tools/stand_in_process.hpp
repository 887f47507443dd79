#pragma once

#include "state/counters.hpp"
#include "tools/fault_handler.hpp"
#include "transport/http_server.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/program_options/options_description.hpp>
#include <boost/program_options/variables_map.hpp>

#include <functional>
#include <memory>
#include <string>

namespace pomelorouter::tools
{

/// Common part of all stand-in programs: options, one event loop, one HTTP server.
class stand_in_process
{
public:
    explicit stand_in_process(const std::string& name);

    /// Options of the program; `--listen` and `--help` are predefined.
    boost::program_options::options_description& options() { return this->description; }
    /// Parses the command line; returns false if it printed the help. Throws if an option
    /// is invalid.
    bool parse(int argc, char** argv);
    const boost::program_options::variables_map& values() const { return this->parsed; }

    boost::asio::io_context& context() { return this->loop; }
    /// Binds the port, prints `listening ip:port` and returns the address. Requests reach
    /// the handler through a `fault_handler`. The caller owns the handler.
    std::string listen(stand_in_handler& handler);
    /// Serves until SIGTERM or SIGINT.
    void run();

private:
    void open_port(const std::string& address);
    /// Stops accepting connections for `duration` and then listens on the same port
    /// again.
    void close_port(state::milliseconds duration);

    boost::program_options::options_description description;
    boost::program_options::variables_map parsed;
    // Declared before the loop, because coroutines that the loop destroys still use it.
    state::counter_registry counters;
    boost::asio::io_context loop{1};
    std::unique_ptr<fault_handler> handler;
    std::unique_ptr<transport::http_server> server;
    std::string bound_address;
};

/// Calls `body` and returns its exit code. Prints an exception on standard error and
/// returns 2.
int run_main(const std::string& name, const std::function<int()>& body);

} // namespace pomelorouter::tools
