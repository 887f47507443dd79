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

/// Process of a scenario with its entry in the instance list.
struct scenario_process
{
    state::instance entry;
    /// Command line without the options that change at a restart.
    std::vector<std::string> command;
    std::string peer_listen;
    std::unique_ptr<child_process> process;
    std::unique_ptr<link_relay> relay;
    std::uint64_t starts = 0;
    bool frozen = false;
    /// Statistics that were read just before the process was ended.
    boost::json::value last_stats;

    bool is_live()
    {
        return this->process && !this->frozen && this->process->is_running();
    }
};

/// Command-line options of a stand-in. The value `yes` is a flag; commas separate the
/// values of a repeated option.
using option_map = std::map<std::string, std::string>;

/// Owns, starts and ends all processes of one scenario.
class deployment
{
public:
    deployment(std::string binary_folder, std::string run_folder);
    ~deployment();

    http_agent& agent() { return this->http; }
    address_book& addresses() { return this->node_addresses; }

    /// Connections to processes that are started after this call pass through relays.
    void use_relays() { this->relays_enabled = true; }
    void start_platform(const option_map& options);
    void start_engine(const std::string& name, const std::string& zone,
                      const option_map& options);
    void start_service(const std::string& name, const std::string& zone,
                       const std::string& service, const option_map& options);
    void start_node(const std::string& name, const std::string& zone);
    /// Starts a process again that has ended, with a new incarnation; throws if it still
    /// runs.
    void restart(const std::string& name);

    /// Sends a signal; with SIGKILL it first saves the statistics and then waits for the
    /// end.
    void signal(const std::string& name, int number);
    void set_frozen(const std::string& name, bool frozen);
    /// Sends SIGTERM and waits. Returns the exit code, or nothing if the process still
    /// runs after `limit`.
    std::optional<int> stop(const std::string& name, state::milliseconds limit);
    void remove_from_list(const std::string& name);
    /// Registers a backend server as leaving and makes its stand-in record new work;
    /// throws if the platform or the stand-in refuses.
    void mark_leaving(const std::string& name);
    /// Posts faults to a stand-in; returns its error, or an empty string on success.
    std::string set_faults(const std::string& name, const std::string& json);
    /// Blocks the direction from `from` to `to`, or unblocks it if `on` is false. Throws
    /// if a process is unknown; has an effect only on connections through relays.
    void cut(const std::string& from, const std::string& to, bool on);
    /// Permanently stops all existing connections to a process; throws if it has no
    /// relay.
    void silence(const std::string& name);

    scenario_process& find(const std::string& name);
    bool has(const std::string& name) const
    {
        return this->scenario_processes.contains(name);
    }
    std::vector<scenario_process*> all(state::instance_kind kind);
    std::vector<scenario_process*> live(state::instance_kind kind);
    /// Returns the statistics of a stand-in; the last known ones if it has ended.
    boost::json::value stats(const std::string& name);
    /// Configures the addresses of the running nodes for the callers.
    void refresh_addresses();

private:
    void launch(scenario_process& item, std::vector<std::string> extra);
    void launch_node(scenario_process& item);
    void register_instance(scenario_process& item);
    void save_stats(scenario_process& item);
    std::string relay_address(scenario_process& item, const std::string& address);
    std::string socket_owner(unsigned short local, unsigned short remote) const;
    std::string platform_address();

    std::string binaries;
    std::string folder;
    http_agent http;
    address_book node_addresses;
    bool relays_enabled = false;
    cut_directions cuts;
    /// Must be used on the event loop's thread only, like `cuts`.
    std::map<pid_t, std::string> process_names;
    std::map<std::string, scenario_process> scenario_processes;
};

} // namespace pomelorouter::scenario
