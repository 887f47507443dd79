#pragma once

#include "address_book.hpp"
#include "child_process.hpp"
#include "http_agent.hpp"
#include "link_relay.hpp"

#include "state/fleet.hpp"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace pomelorouter::scenario
{

/// A process of a scenario with its entry in the instance list.
struct member
{
    state::instance entry;
    /// Command without the options that change at a restart.
    std::vector<std::string> command;
    std::string peer_listen;
    std::unique_ptr<child_process> process;
    std::unique_ptr<link_relay> relay;
    std::uint64_t starts = 0;
    bool frozen = false;
    /// What its statistics said before it ended.
    boost::json::value last_stats;

    bool is_live()
    {
        return this->process && !this->frozen && this->process->is_running();
    }
};

/// Options of the stand-ins, as on their command line.
using option_map = std::map<std::string, std::string>;

/// The processes of one scenario, all started and ended here.
class deployment
{
public:
    deployment(std::string binary_folder, std::string run_folder);
    ~deployment();

    http_agent& agent() { return this->http; }
    address_book& addresses() { return this->book; }

    /// From now on links to new processes run through relays.
    void use_relays() { this->relayed = true; }
    void start_platform(const option_map& options);
    void start_engine(const std::string& name, const std::string& zone,
                      const option_map& options);
    void start_service(const std::string& name, const std::string& zone,
                       const std::string& service, const option_map& options);
    void start_node(const std::string& name, const std::string& zone);
    /// Starts a process that has ended again, with a new incarnation.
    void restart(const std::string& name);

    void signal(const std::string& name, int number);
    void set_frozen(const std::string& name, bool frozen);
    /// Sends SIGTERM and waits; returns the exit code, or nothing after the limit.
    std::optional<int> stop(const std::string& name, state::milliseconds limit);
    void remove_from_list(const std::string& name);
    void mark_leaving(const std::string& name);
    /// Posts faults to a stand-in; returns what it refused, or an empty string.
    std::string set_faults(const std::string& name, const std::string& json);
    void cut(const std::string& from, const std::string& to, bool on);
    void silence(const std::string& name);

    member& find(const std::string& name);
    bool has(const std::string& name) const { return this->members.contains(name); }
    std::vector<member*> all(state::instance_kind kind);
    std::vector<member*> live(state::instance_kind kind);
    /// Statistics of a stand-in; the last known ones if it has ended.
    boost::json::value stats(const std::string& name);
    /// Tells callers the addresses of the nodes that run.
    void refresh_addresses();

private:
    void launch(member& item, std::vector<std::string> extra);
    void launch_node(member& item);
    void register_member(member& item);
    void keep_stats(member& item);
    std::string reach(member& item, const std::string& address);
    std::string owner_of(unsigned short local, unsigned short remote) const;
    std::string platform_address();

    std::string binaries;
    std::string folder;
    http_agent http;
    address_book book;
    bool relayed = false;
    cut_directions cuts;
    /// Belongs to the event loop's thread, like `cuts`.
    std::map<pid_t, std::string> process_names;
    std::map<std::string, member> members;
};

} // namespace pomelorouter::scenario
