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

/// What all stand-ins have in common: options, one event loop, one HTTP server.
class stand_in_process
{
public:
    explicit stand_in_process(const std::string& name);

    /// Options of the program; `--listen` and `--help` are there already.
    boost::program_options::options_description& options() { return this->description; }
    /// Parses the command line; returns false if only help was asked for.
    bool parse(int argc, char** argv);
    const boost::program_options::variables_map& values() const { return this->parsed; }

    boost::asio::io_context& context() { return this->loop; }
    /// Binds the port, prints `listening ip:port` and returns the address. Faults are
    /// applied around the handler.
    std::string listen(stand_in_handler& handler);
    /// Serves until SIGTERM or SIGINT.
    void run();

private:
    void open_port(const std::string& address);
    /// Refuses connections for a time and then listens on the same port again.
    void close_port(state::milliseconds duration);

    boost::program_options::options_description description;
    boost::program_options::variables_map parsed;
    // Before the loop: coroutines that the loop destroys still count.
    state::counter_registry counters;
    boost::asio::io_context loop{1};
    std::unique_ptr<fault_handler> handler;
    std::unique_ptr<transport::http_server> server;
    std::string bound_address;
};

/// Calls `body` and reports an error on standard error; returns the exit code.
int run_main(const std::string& name, const std::function<int()>& body);

} // namespace pomelorouter::tools
