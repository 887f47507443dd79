#include "runner.hpp"

#include "state/json_reader.hpp"

#include <boost/json/object.hpp>

#include <csignal>
#include <iostream>
#include <sstream>
#include <thread>

namespace pomelorouter::scenario
{

using state::instance_kind;

namespace
{

constexpr state::milliseconds poll_period{50};
constexpr std::int64_t default_timeout_s = 20;
constexpr std::int64_t stop_timeout_s = 60;

} // namespace

runner::runner(const std::string& binary_folder, const std::string& run_folder,
               std::string files, std::uint64_t work_seed)
    : script_folder(std::move(files)),
      seed(work_seed),
      processes(binary_folder, run_folder)
{
    this->actions = this->process_actions();
    this->actions.merge(this->fault_actions());
    this->actions.merge(this->work_actions());
    this->checks = this->expectations();
    this->checks.merge(this->cluster_expectations());
}

runner::~runner()
{
    // The event loop must have stopped before the workloads are destroyed.
    this->processes.agent().stop();
}

void runner::run(std::vector<statement> script)
{
    for (statement& line : script)
    {
        std::string verb = line.word("a statement");
        const auto* table = &this->actions;
        if (verb == "expect")
        {
            table = &this->checks;
            verb = line.word("an expectation");
        }
        const auto found = table->find(verb);
        if (found == table->end())
            line.fail("unknown statement '" + verb + "'");
        std::cout << "  " << line.line() << ": " << line.text().substr(0, 110)
                  << std::endl;
        try
        {
            found->second(line);
            line.finish();
        }
        catch (const scenario_error&)
        {
            throw;
        }
        catch (const std::exception& failure)
        {
            line.fail(failure.what());
        }
    }
}

std::map<std::string, runner::action> runner::process_actions()
{
    std::map<std::string, action> table;
    table["relays"] = [this](statement&) { this->processes.use_relays(); };
    table["platform"] = [this](statement& line)
    { this->processes.start_platform(line.take_options()); };
    table["engine"] = [this](statement& line) { this->start_backend(line); };
    table["service"] = [this](statement& line) { this->start_backend(line); };
    table["node"] = [this](statement& line)
    {
        const std::string name = line.word("a name");
        this->processes.start_node(name, line.option("zone", "zone-1"));
    };
    table["nodes"] = [this](statement& line) { this->start_nodes(line); };
    table["restart"] = [this](statement& line)
    { this->processes.restart(line.word("a name")); };
    table["stop"] = [this](statement& line) { this->stop_node(line); };
    table["replace"] = [this](statement& line) { this->replace_nodes(line); };
    table["remove"] = [this](statement& line)
    { this->processes.remove_from_list(line.word("a name")); };
    table["leave"] = [this](statement& line)
    { this->processes.mark_leaving(line.word("a name")); };
    return table;
}

std::map<std::string, runner::action> runner::fault_actions()
{
    std::map<std::string, action> table;
    table["kill"] = [this](statement& line)
    { this->processes.signal(line.word("a name"), SIGKILL); };
    table["freeze"] = [this](statement& line)
    { this->processes.set_frozen(line.word("a name"), true); };
    table["thaw"] = [this](statement& line)
    { this->processes.set_frozen(line.word("a name"), false); };
    table["silence"] = [this](statement& line)
    { this->processes.silence(line.word("a name")); };
    table["cut"] = [this](statement& line) { this->cut_link(line, true); };
    table["heal"] = [this](statement& line) { this->cut_link(line, false); };
    table["faults"] = [this](statement& line)
    {
        const std::string name = line.word("a name");
        const std::string refused =
            this->processes.set_faults(name, line.word("faults as JSON"));
        if (!refused.empty())
            line.fail(refused);
    };
    // Waits for a fixed time while workloads run; a condition to wait for needs `expect`.
    table["pass"] = [](statement& line)
    { std::this_thread::sleep_for(state::seconds(line.number("seconds"))); };
    return table;
}

void runner::start_backend(statement& line)
{
    const bool is_engine = line.text().starts_with("engine");
    const std::string name = line.word("a name");
    const std::string zone = line.option("zone", "zone-1");
    if (is_engine)
    {
        this->processes.start_engine(name, zone, line.take_options());
        return;
    }
    const std::string service = line.option("service", name);
    this->processes.start_service(name, zone, service, line.take_options());
}

void runner::start_nodes(statement& line)
{
    const std::int64_t count = line.number("a number of nodes");
    for (std::int64_t index = 1; index <= count; ++index)
    {
        const std::string number = std::to_string(index);
        this->processes.start_node("node-" + number, "zone-" + number);
    }
}

void runner::stop_node(statement& line)
{
    const std::string name = line.word("a name");
    const std::int64_t limit = line.take_timeout_s(stop_timeout_s);
    const auto code = this->processes.stop(name, state::seconds(limit));
    if (!code)
        line.fail("the process still runs after the time limit");
    if (*code != 0)
        line.fail("expected exit code 0, received " + std::to_string(*code));
    this->processes.remove_from_list(name);
}

void runner::replace_nodes(statement& line)
{
    const std::string suffix = line.word("a suffix for the new names");
    const std::int64_t limit = line.take_timeout_s(stop_timeout_s);
    for (scenario_process* node : this->processes.live(instance_kind::node))
    {
        const std::string name = node->entry.id;
        const std::string successor = name + suffix;
        this->processes.start_node(successor, node->entry.zone);
        const std::string address = this->processes.find(successor).entry.address;
        this->wait_until(line, default_timeout_s,
                         [&]
                         {
                             const bool ready = this->processes.agent()
                                                    .get_json(address, "/admin/status")
                                                    .is_object();
                             const auto answer = this->processes.agent().fetch(
                                 address, transport::verb::get, "/readyz");
                             return ready && answer &&
                                            answer->result() == transport::status::ok
                                        ? ""
                                        : successor + " is not ready";
                         });
        const auto code = this->processes.stop(name, state::seconds(limit));
        if (!code || *code != 0)
        {
            line.fail(name + (code ? " ended with exit code " + std::to_string(*code)
                                   : " still runs"));
        }
        this->processes.remove_from_list(name);
    }
}

void runner::cut_link(statement& line, bool on)
{
    const std::string from = line.word("a process");
    const bool one_way = line.accept("->");
    const std::string to = line.word("a process");
    this->processes.cut(from, to, on);
    if (!one_way)
        this->processes.cut(to, from, on);
}

void runner::wait_until(statement& line, std::int64_t seconds,
                        const std::function<std::string()>& unmet)
{
    const auto deadline = std::chrono::steady_clock::now() + state::seconds(seconds);
    std::string reason = unmet();
    while (!reason.empty())
    {
        if (std::chrono::steady_clock::now() >= deadline)
            line.fail("not met within " + std::to_string(seconds) + " s: " + reason);
        std::this_thread::sleep_for(poll_period);
        reason = unmet();
    }
}

std::string runner::first_node(statement& line)
{
    const auto nodes = this->processes.live(instance_kind::node);
    if (nodes.empty())
        line.fail("no node is running");
    return nodes.front()->entry.address;
}

std::string runner::timeline()
{
    std::multimap<std::int64_t, std::string> events;
    for (scenario_process* node : this->processes.live(instance_kind::node))
    {
        const boost::json::value answer = this->processes.agent().get_json(
            node->entry.address, "/admin/timeline?from=0");
        if (!answer.is_object())
            continue;
        for (const auto& event : answer.at("events").as_array())
        {
            std::ostringstream text;
            text << event.at("node").as_string().c_str() << " "
                 << event.at("kind").as_string().c_str();
            for (const auto& field : event.at("fields").as_object())
                text << " " << field.key() << "=" << field.value();
            events.emplace(event.at("wall_time_us").to_number<std::int64_t>(),
                           text.str());
        }
    }
    std::ostringstream out;
    const std::int64_t begin = events.empty() ? 0 : events.begin()->first;
    for (const auto& [time_us, text] : events)
        out << "  +" << (time_us - begin) / 1000 << " ms " << text << "\n";
    return out.str();
}

} // namespace pomelorouter::scenario
