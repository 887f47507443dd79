#include "tools/stand_in_process.hpp"

#include <boost/asio/signal_set.hpp>
#include <boost/program_options/parsers.hpp>

#include <csignal>
#include <exception>
#include <iostream>

namespace pomelorouter::tools
{

namespace options = boost::program_options;

stand_in_process::stand_in_process(const std::string& name) : description(name)
{
    this->description.add_options()("help,h", "show this help")(
        "listen", options::value<std::string>()->default_value("127.0.0.1:0"),
        "ip:port; port 0 lets the kernel choose");
}

bool stand_in_process::parse(int argc, char** argv)
{
    options::store(options::parse_command_line(argc, argv, this->description),
                   this->parsed);
    if (this->parsed.count("help") > 0)
    {
        std::cout << this->description;
        return false;
    }
    options::notify(this->parsed);
    return true;
}

std::string stand_in_process::listen(transport::http_handler& handler)
{
    this->server = std::make_unique<transport::http_server>(
        this->loop, transport::http_server_limits{}, handler, this->counters);
    const std::string address =
        this->server->listen(this->parsed["listen"].as<std::string>());
    std::cout << "listening " << address << std::endl;
    return address;
}

void stand_in_process::run()
{
    boost::asio::signal_set signals(this->loop, SIGTERM, SIGINT);
    signals.async_wait([this](boost::system::error_code, int) { this->loop.stop(); });
    this->loop.run();
}

int run_main(const std::string& name, const std::function<int()>& body)
{
    try
    {
        return body();
    }
    catch (const std::exception& failure)
    {
        std::cerr << name << ": " << failure.what() << "\n";
        return 2;
    }
}

} // namespace pomelorouter::tools
