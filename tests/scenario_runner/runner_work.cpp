#include "runner.hpp"

#include "state/json_reader.hpp"
#include "state/process_settings.hpp"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <future>
#include <iostream>

namespace pomelorouter::scenario
{

using transport::verb;

namespace
{

constexpr std::int64_t work_timeout_s = 90;

std::string change_body(const std::string& tree, std::uint64_t base,
                        const std::string& author)
{
    boost::json::object body;
    body["base_version"] = base;
    body["author"] = author;
    body["tree"] = state::parse_json(tree, "settings");
    return boost::json::serialize(body);
}

} // namespace

std::map<std::string, runner::action> runner::work_actions()
{
    std::map<std::string, action> table;
    table["settings"] = [this](statement& line)
    {
        if (line.accept("race"))
            this->race_settings(line);
        else
            this->apply_settings(line);
    };
    table["send"] = [this](statement& line) { this->send(line); };
    table["wait"] = [this](statement& line) { this->wait_for_work(line); };
    return table;
}

std::uint64_t runner::settings_version(const std::string& address)
{
    const boost::json::value status =
        this->processes.agent().get_json(address, "/admin/status");
    if (!status.is_object())
        return 0;
    return status.at("settings_version").to_number<std::uint64_t>();
}

std::uint64_t runner::base_version(const std::string& address)
{
    const boost::json::value settings =
        this->processes.agent().get_json(address, "/admin/settings");
    if (!settings.is_object())
        return 0;
    return settings.at("version").to_number<std::uint64_t>();
}

std::string runner::settings_body(statement& line, std::uint64_t base)
{
    std::string tree = line.word("settings as JSON or @file");
    if (tree.starts_with('@'))
        tree = state::read_file(this->script_folder + "/" + tree.substr(1));
    return change_body(tree, base, "operator-" + std::to_string(line.line()));
}

void runner::apply_settings(statement& line)
{
    const std::string node = this->first_node(line);
    const std::string body = this->settings_body(line, this->base_version(node));
    const auto answer =
        this->processes.agent().fetch(node, verb::post, "/admin/settings", body);
    if (!answer)
        line.fail("the node did not answer the settings change");
    if (answer->result() != transport::status::ok)
        line.fail("the node did not accept the settings: " + answer->body());
}

void runner::race_settings(statement& line)
{
    const auto nodes = this->processes.live(state::instance_kind::node);
    if (nodes.size() < 2)
        line.fail("a settings race needs two running nodes");
    const std::uint64_t base = this->base_version(this->first_node(line));
    const std::string bodies[] = {this->settings_body(line, base),
                                  this->settings_body(line, base)};
    std::future<std::optional<transport::http_response>> answers[2];
    for (std::size_t index = 0; index < 2; ++index)
    {
        answers[index] = std::async(std::launch::async,
                                    [&, index]
                                    {
                                        return this->processes.agent().fetch(
                                            nodes[index]->entry.address, verb::post,
                                            "/admin/settings", bodies[index]);
                                    });
    }
    int accepted = 0;
    std::string seen;
    for (auto& answer : answers)
    {
        const auto response = answer.get();
        accepted += response && response->result() == transport::status::ok ? 1 : 0;
        seen += response ? response->body() + " " : "no answer ";
    }
    if (accepted != 1)
        line.fail("expected exactly one accepted change, received " + seen);
}

void runner::send(statement& line)
{
    workload_options options;
    options.name = line.word("a name for the workload");
    options.count = line.number("a number of requests");
    options.orders = line.accept("orders");
    if (!options.orders && !line.accept("completions"))
        line.fail("expected orders or completions");
    options.streamed = line.accept("streamed");
    const bool background = line.accept("background");
    options.rate = line.number_option("rate", 0);
    options.model = line.option("model", "");
    options.service = line.option("service", "");
    options.tokens = line.number_option("tokens", options.tokens);
    options.deadline_ms = line.number_option("deadline_ms", 0);
    options.timeout =
        state::milliseconds(line.number_option("timeout_ms", options.timeout.count()));
    options.retries = line.number_option("retries", 0);
    options.copies = line.number_option("copies", 1);
    options.seed = this->seed;
    const std::string to = line.option("to", "");
    if (!to.empty())
        options.address = this->processes.find(to).entry.address;
    if (this->workloads.contains(options.name))
        line.fail("a workload of this name exists already");
    line.finish();
    http_agent& agent = this->processes.agent();
    auto& work = this->workloads[options.name];
    work = std::make_unique<workload>(agent.context(), agent.client(),
                                      this->processes.addresses(), options);
    agent.run([&] { work->start(); });
    if (!background)
    {
        this->wait_until(
            line, work_timeout_s,
            [&] { return work->is_done() ? "" : "the workload is still running"; });
    }
}

workload& runner::wait_for_work(statement& line)
{
    const std::string name = line.word("the name of a workload");
    const auto found = this->workloads.find(name);
    if (found == this->workloads.end())
        line.fail("unknown workload '" + name + "'");
    workload& work = *found->second;
    this->wait_until(line, work_timeout_s,
                     [&] { return work.is_done() ? "" : name + " is still running"; });
    return work;
}

} // namespace pomelorouter::scenario
