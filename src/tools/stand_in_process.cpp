#include "tools/stand_in_process.hpp"

#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
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

std::string stand_in_process::listen(stand_in_handler& inner)
{
    this->handler = std::make_unique<fault_handler>(this->loop, inner);
    this->handler->close_port = [this](state::milliseconds duration)
    { this->close_port(duration); };
    this->open_port(this->parsed["listen"].as<std::string>());
    std::cout << "listening " << this->bound_address << std::endl;
    return this->bound_address;
}

void stand_in_process::open_port(const std::string& address)
{
    this->server = std::make_unique<transport::http_server>(
        this->loop, transport::http_server_limits{}, *this->handler, this->counters);
    this->bound_address = this->server->listen(address);
}

void stand_in_process::close_port(state::milliseconds duration)
{
    this->server->stop_accepting();
    const auto timer = std::make_shared<boost::asio::steady_timer>(this->loop, duration);
    timer->async_wait(
        [this, timer](boost::system::error_code failure)
        {
            if (!failure)
                this->open_port(std::string(this->bound_address));
        });
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
