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

/// Binds port 0 and closes it again, so that a node can be told its peer port.
std::string free_address()
{
    boost::asio::io_context loop;
    using boost::asio::ip::tcp;
    const tcp::acceptor acceptor(
        loop, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
    return transport::format_address(acceptor.local_endpoint());
}

/// Reads the port of `address:port` in hexadecimal; 0 if there is none.
unsigned long port_of(const std::string& text)
{
    const std::size_t colon = text.find(':');
    return colon == std::string::npos ? 0
                                      : std::stoul(text.substr(colon + 1), nullptr, 16);
}

/// Inode of the socket with these ports, as the kernel's table shows it. The local port
/// alone may be shared by connections to different ports.
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
      book(this->http.client())
{
    std::filesystem::create_directories(this->folder);
}

deployment::~deployment()
{
    // Relays must not run any more when the members are destroyed.
    this->http.stop();
}

member& deployment::find(const std::string& name)
{
    const auto found = this->members.find(name);
    if (found == this->members.end())
        throw std::runtime_error("no process is called '" + name + "'");
    return found->second;
}

std::vector<member*> deployment::all(instance_kind kind)
{
    std::vector<member*> result;
    for (auto& [name, item] : this->members)
    {
        if (name != platform_name && item.entry.kind == kind)
            result.push_back(&item);
    }
    return result;
}

std::vector<member*> deployment::live(instance_kind kind)
{
    std::vector<member*> result = this->all(kind);
    std::erase_if(result, [](member* item) { return !item->is_live(); });
    return result;
}

std::string deployment::reach(member& item, const std::string& address)
{
    if (!this->relayed)
        return address;
    this->http.run(
        [&]
        {
            item.relay = std::make_unique<link_relay>(
                this->http.context(), item.entry.id, address, this->cuts,
                [this](unsigned short local, unsigned short remote)
                { return this->owner_of(local, remote); });
        });
    return item.relay->address();
}

std::string deployment::owner_of(unsigned short local, unsigned short remote) const
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

void deployment::launch(member& item, std::vector<std::string> extra)
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
    member& item = this->members[platform_name];
    item.entry.id = platform_name;
    item.command = {this->binaries + "/platform_stand_in"};
    add_options(item.command, options);
    this->launch(item, {});
    item.entry.address = this->reach(item, item.process->address());
}

void deployment::start_engine(const std::string& name, const std::string& zone,
                              const option_map& options)
{
    member& item = this->members[name];
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
    member& item = this->members[name];
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
    member& item = this->members[name];
    item.entry.id = name;
    item.entry.zone = zone;
    item.entry.kind = instance_kind::node;
    this->restart(name);
}

void deployment::restart(const std::string& name)
{
    member& item = this->find(name);
    if (item.process && item.process->is_running())
        throw std::runtime_error(name + " is running");
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
        item.entry.address = this->reach(item, item.process->address());
    }
    this->register_member(item);
    this->refresh_addresses();
}

void deployment::launch_node(member& item)
{
    item.peer_listen = free_address();
    const std::string path = this->folder + "/" + item.entry.id + ".json";
    boost::json::object settings;
    settings["node_id"] = item.entry.id;
    settings["zone"] = item.entry.zone;
    settings["listen"] = "127.0.0.1:0";
    settings["peer_listen"] = item.peer_listen;
    item.entry.peer_address = this->reach(item, item.peer_listen);
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

void deployment::register_member(member& item)
{
    const auto response =
        this->http.fetch(this->find(platform_name).process->address(), verb::post,
                         "/control/instances", protocol::format_instances({item.entry}));
    if (!response || response->result() != transport::status::ok)
        throw std::runtime_error("the platform did not register " + item.entry.id);
}

void deployment::keep_stats(member& item)
{
    if (item.entry.kind != instance_kind::node && item.is_live())
        item.last_stats = this->http.get_json(item.process->address(), "/control/stats");
}

void deployment::signal(const std::string& name, int number)
{
    member& item = this->find(name);
    if (number == SIGKILL)
        this->keep_stats(item);
    item.process->signal(number);
    if (number == SIGKILL)
        item.process->wait(state::milliseconds(5000));
    this->refresh_addresses();
}

void deployment::set_frozen(const std::string& name, bool frozen)
{
    member& item = this->find(name);
    item.process->signal(frozen ? SIGSTOP : SIGCONT);
    item.frozen = frozen;
    this->refresh_addresses();
}

std::optional<int> deployment::stop(const std::string& name, state::milliseconds limit)
{
    member& item = this->find(name);
    this->keep_stats(item);
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
    member& item = this->find(name);
    item.entry.state = state::instance_state::leaving;
    this->register_member(item);
    const std::string refused = this->set_faults(name, R"({"leaving":"noted"})");
    if (!refused.empty())
        throw std::runtime_error(refused);
}

std::string deployment::set_faults(const std::string& name, const std::string& json)
{
    const auto response = this->http.fetch(this->find(name).process->address(),
                                           verb::post, "/control/faults", json);
    if (!response)
        return name + " did not answer";
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
    member& item = this->find(name);
    if (!item.relay)
        throw std::runtime_error(name + " was started without 'relays'");
    this->http.run([&] { item.relay->silence(); });
}

boost::json::value deployment::stats(const std::string& name)
{
    member& item = this->find(name);
    if (item.is_live())
        return this->http.get_json(item.process->address(), "/control/stats");
    return item.last_stats;
}

void deployment::refresh_addresses()
{
    std::vector<std::string> addresses;
    for (member* node : this->live(instance_kind::node))
        addresses.push_back(node->entry.address);
    this->http.run([&] { this->book.set_known(addresses); });
}

} // namespace pomelorouter::scenario
