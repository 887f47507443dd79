#include "deployment.hpp"

#include "protocol/platform_api.hpp"
#include "state/json_reader.hpp"
#include "transport/address.hpp"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>

namespace pomelorouter::scenario
{

using state::instance_kind;
using transport::verb;

namespace
{

constexpr const char* platform_name = "platform";

/// Returns a free loopback address: binds port 0 and closes it again. A node needs its
/// peer port in the settings before it starts.
std::string free_address()
{
    boost::asio::io_context loop;
    using boost::asio::ip::tcp;
    const tcp::acceptor acceptor(
        loop, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
    return transport::format_address(acceptor.local_endpoint());
}

/// Parses the hexadecimal port of `address:port`; returns 0 if there is none.
unsigned long port_of(const std::string& text)
{
    const std::size_t colon = text.find(':');
    return colon == std::string::npos ? 0
                                      : std::stoul(text.substr(colon + 1), nullptr, 16);
}

/// Returns the inode of the TCP socket with these ports from the kernel's table. The
/// local port is not enough, because connections to different remote ports may share it.
std::string socket_inode(unsigned short local_port, unsigned short remote_port)
{
    constexpr int columns_between = 6;
    std::ifstream table("/proc/self/net/tcp");
    std::string line;
    std::getline(table, line);
    while (std::getline(table, line))
    {
        std::istringstream fields(line);
        std::string slot;
        std::string local;
        std::string remote;
        std::string skipped;
        std::string inode;
        fields >> slot >> local >> remote;
        for (int column = 0; column < columns_between; ++column)
            fields >> skipped;
        fields >> inode;
        if (port_of(local) == local_port && port_of(remote) == remote_port &&
            inode != "0")
            return inode;
    }
    return {};
}

bool holds_socket(pid_t pid, const std::string& inode)
{
    const std::string wanted = "socket:[" + inode + "]";
    std::error_code failure;
    const std::filesystem::path folder = "/proc/" + std::to_string(pid) + "/fd";
    for (const auto& item : std::filesystem::directory_iterator(folder, failure))
    {
        if (std::filesystem::read_symlink(item.path(), failure) == wanted)
            return true;
    }
    return false;
}

void add_options(std::vector<std::string>& command, const option_map& options)
{
    for (const auto& [key, value] : options)
    {
        std::istringstream parts(value);
        std::string part;
        if (value == "yes")
        {
            command.push_back("--" + key);
            continue;
        }
        while (std::getline(parts, part, ','))
        {
            command.push_back("--" + key);
            command.push_back(part);
        }
    }
}

} // namespace

deployment::deployment(std::string binary_folder, std::string run_folder)
    : binaries(std::move(binary_folder)),
      folder(std::move(run_folder)),
      node_addresses(this->http.client())
{
    std::filesystem::create_directories(this->folder);
}

deployment::~deployment()
{
    // The relays must have stopped before the processes that own them are destroyed.
    this->http.stop();
}

scenario_process& deployment::find(const std::string& name)
{
    const auto found = this->scenario_processes.find(name);
    if (found == this->scenario_processes.end())
        throw std::runtime_error("unknown process '" + name + "'");
    return found->second;
}

std::vector<scenario_process*> deployment::all(instance_kind kind)
{
    std::vector<scenario_process*> result;
    for (auto& [name, item] : this->scenario_processes)
    {
        if (name != platform_name && item.entry.kind == kind)
            result.push_back(&item);
    }
    return result;
}

std::vector<scenario_process*> deployment::live(instance_kind kind)
{
    std::vector<scenario_process*> result = this->all(kind);
    std::erase_if(result, [](scenario_process* item) { return !item->is_live(); });
    return result;
}

std::string deployment::relay_address(scenario_process& item, const std::string& address)
{
    if (!this->relays_enabled)
        return address;
    this->http.run(
        [&]
        {
            item.relay = std::make_unique<link_relay>(
                this->http.context(), item.entry.id, address, this->cuts,
                [this](unsigned short local, unsigned short remote)
                { return this->socket_owner(local, remote); });
        });
    return item.relay->address();
}

std::string deployment::socket_owner(unsigned short local, unsigned short remote) const
{
    const std::string inode = socket_inode(local, remote);
    if (inode.empty())
        return {};
    for (const auto& [pid, name] : this->process_names)
    {
        if (holds_socket(pid, inode))
            return name;
    }
    return {};
}

void deployment::launch(scenario_process& item, std::vector<std::string> extra)
{
    std::vector<std::string> command = item.command;
    command.insert(command.end(), extra.begin(), extra.end());
    ++item.starts;
    const std::string log =
        this->folder + "/" + item.entry.id + "-" + std::to_string(item.starts) + ".log";
    item.process = std::make_unique<child_process>(command, log);
    this->http.run([&] { this->process_names[item.process->pid()] = item.entry.id; });
    item.frozen = false;
    item.entry.incarnation = item.starts;
}

std::string deployment::platform_address()
{
    return this->find(platform_name).entry.address;
}

void deployment::start_platform(const option_map& options)
{
    scenario_process& item = this->scenario_processes[platform_name];
    item.entry.id = platform_name;
    item.command = {this->binaries + "/platform_stand_in"};
    add_options(item.command, options);
    this->launch(item, {});
    item.entry.address = this->relay_address(item, item.process->address());
}

void deployment::start_engine(const std::string& name, const std::string& zone,
                              const option_map& options)
{
    scenario_process& item = this->scenario_processes[name];
    item.entry.id = name;
    item.entry.zone = zone;
    item.entry.kind = instance_kind::engine;
    item.command = {this->binaries + "/engine_stand_in", "--id", name, "--platform",
                    this->platform_address()};
    add_options(item.command, options);
    this->restart(name);
}

void deployment::start_service(const std::string& name, const std::string& zone,
                               const std::string& service, const option_map& options)
{
    scenario_process& item = this->scenario_processes[name];
    item.entry.id = name;
    item.entry.zone = zone;
    item.entry.kind = instance_kind::service;
    item.entry.service = service;
    item.command = {this->binaries + "/service_stand_in"};
    add_options(item.command, options);
    this->restart(name);
}

void deployment::start_node(const std::string& name, const std::string& zone)
{
    scenario_process& item = this->scenario_processes[name];
    item.entry.id = name;
    item.entry.zone = zone;
    item.entry.kind = instance_kind::node;
    this->restart(name);
}

void deployment::restart(const std::string& name)
{
    scenario_process& item = this->find(name);
    if (item.process && item.process->is_running())
        throw std::runtime_error(name +
                                 " cannot be restarted because it is still running");
    item.entry.state = state::instance_state::live;
    if (item.entry.kind == instance_kind::node)
    {
        this->launch_node(item);
    }
    else
    {
        const bool is_engine = item.entry.kind == instance_kind::engine;
        std::vector<std::string> extra;
        if (is_engine)
            extra = {"--incarnation", std::to_string(item.starts + 1)};
        this->launch(item, extra);
        item.entry.address = this->relay_address(item, item.process->address());
    }
    this->register_instance(item);
    this->refresh_addresses();
}

void deployment::launch_node(scenario_process& item)
{
    item.peer_listen = free_address();
    const std::string path = this->folder + "/" + item.entry.id + ".json";
    boost::json::object settings;
    settings["node_id"] = item.entry.id;
    settings["zone"] = item.entry.zone;
    settings["listen"] = "127.0.0.1:0";
    settings["peer_listen"] = item.peer_listen;
    item.entry.peer_address = this->relay_address(item, item.peer_listen);
    settings["peer_advertise"] = item.entry.peer_address;
    settings["platform"] = this->platform_address();
    std::ofstream(path) << boost::json::serialize(settings);
    item.command = {this->binaries + "/pomelorouter", "node", "--settings", path};
    this->launch(item, {});
    item.entry.address = item.process->address();
    const boost::json::value status =
        this->http.get_json(item.entry.address, "/admin/status");
    if (status.is_object() && status.get_object().contains("incarnation"))
        item.entry.incarnation = status.at("incarnation").to_number<std::uint64_t>();
}

void deployment::register_instance(scenario_process& item)
{
    const auto response =
        this->http.fetch(this->find(platform_name).process->address(), verb::post,
                         "/control/instances", protocol::format_instances({item.entry}));
    if (!response || response->result() != transport::status::ok)
        throw std::runtime_error("the platform stand-in did not register " +
                                 item.entry.id);
}

void deployment::save_stats(scenario_process& item)
{
    if (item.entry.kind != instance_kind::node && item.is_live())
        item.last_stats = this->http.get_json(item.process->address(), "/control/stats");
}

void deployment::signal(const std::string& name, int number)
{
    scenario_process& item = this->find(name);
    if (number == SIGKILL)
        this->save_stats(item);
    item.process->signal(number);
    if (number == SIGKILL)
        item.process->wait(state::milliseconds(5000));
    this->refresh_addresses();
}

void deployment::set_frozen(const std::string& name, bool frozen)
{
    scenario_process& item = this->find(name);
    item.process->signal(frozen ? SIGSTOP : SIGCONT);
    item.frozen = frozen;
    this->refresh_addresses();
}

std::optional<int> deployment::stop(const std::string& name, state::milliseconds limit)
{
    scenario_process& item = this->find(name);
    this->save_stats(item);
    item.process->signal(SIGTERM);
    const std::optional<int> code = item.process->wait(limit);
    this->refresh_addresses();
    return code;
}

void deployment::remove_from_list(const std::string& name)
{
    this->http.fetch(this->find(platform_name).process->address(), verb::delete_,
                     "/control/instances/" + name);
}

void deployment::mark_leaving(const std::string& name)
{
    scenario_process& item = this->find(name);
    item.entry.state = state::instance_state::leaving;
    this->register_instance(item);
    const std::string refused = this->set_faults(name, R"({"leaving":"noted"})");
    if (!refused.empty())
        throw std::runtime_error(refused);
}

std::string deployment::set_faults(const std::string& name, const std::string& json)
{
    const auto response = this->http.fetch(this->find(name).process->address(),
                                           verb::post, "/control/faults", json);
    if (!response)
        return name + " did not answer the change of faults";
    return response->result() == transport::status::ok ? "" : response->body();
}

void deployment::cut(const std::string& from, const std::string& to, bool on)
{
    for (const std::string& name : {from, to})
        this->find(name);
    this->http.run(
        [&]
        {
            if (on)
                this->cuts.emplace(from, to);
            else
                this->cuts.erase({from, to});
        });
}

void deployment::silence(const std::string& name)
{
    scenario_process& item = this->find(name);
    if (!item.relay)
        throw std::runtime_error(
            name + " has no relay: the statement 'relays' must precede its start");
    this->http.run([&] { item.relay->silence(); });
}

boost::json::value deployment::stats(const std::string& name)
{
    scenario_process& item = this->find(name);
    if (item.is_live())
        return this->http.get_json(item.process->address(), "/control/stats");
    return item.last_stats;
}

void deployment::refresh_addresses()
{
    std::vector<std::string> addresses;
    for (scenario_process* node : this->live(instance_kind::node))
        addresses.push_back(node->entry.address);
    this->http.run([&] { this->node_addresses.set_configured(addresses); });
}

} // namespace pomelorouter::scenario
