#pragma once

#include "deployment.hpp"
#include "script.hpp"
#include "workload.hpp"

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>

namespace pomelorouter::scenario
{

/// Executes the statements of one scenario.
class runner
{
public:
    runner(const std::string& binary_folder, const std::string& run_folder,
           std::string script_folder, std::uint64_t seed);
    ~runner();
    runner(const runner&) = delete;
    runner& operator=(const runner&) = delete;

    /// Throws `scenario_error` at the first statement that fails.
    void run(std::vector<statement> script);
    /// Returns the events of all nodes that answer, ordered by time.
    std::string timeline();

private:
    using action = std::function<void(statement&)>;

    std::map<std::string, action> process_actions();
    std::map<std::string, action> fault_actions();
    std::map<std::string, action> work_actions();
    std::map<std::string, action> expectations();
    std::map<std::string, action> cluster_expectations();

    void start_backend(statement& line);
    void start_nodes(statement& line);
    void stop_node(statement& line);
    void replace_nodes(statement& line);
    void cut_link(statement& line, bool on);
    void apply_settings(statement& line);
    void race_settings(statement& line);
    void send(statement& line);
    workload& wait_for_work(statement& line);

    void expect_ready(statement& line);
    void expect_settings(statement& line);
    void expect_addresses(statement& line);
    void expect_copies(statement& line);
    void expect_event(statement& line);
    void expect_stat(statement& line);
    void expect_memory(statement& line);
    void expect_quiet(statement& line);
    void expect_load(statement& line);
    void expect_orders_once(statement& line);
    void expect_count(statement& line, request_outcome outcome);
    void expect_refusals(statement& line);

    /// Calls `unmet` until it returns an empty string; after the time limit the statement
    /// fails with the last reason that `unmet` returned.
    void wait_until(statement& line, std::int64_t seconds,
                    const std::function<std::string()>& unmet);
    std::string first_node(statement& line);
    std::string settings_body(statement& line, std::uint64_t base);
    /// Returns the settings version that the node uses for routing.
    std::uint64_t settings_version(const std::string& address);
    /// Returns the settings version that an operator reads; it may be newer than the one
    /// that the node uses for routing.
    std::uint64_t base_version(const std::string& address);

    std::string script_folder;
    std::uint64_t seed;
    deployment processes;
    std::map<std::string, std::unique_ptr<workload>> workloads;
    std::map<std::string, action> actions;
    std::map<std::string, action> checks;
};

} // namespace pomelorouter::scenario
