#include "runner.hpp"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <set>

namespace pomelorouter::scenario
{

using state::instance_kind;
using transport::status;
using transport::verb;

namespace
{

constexpr std::int64_t default_timeout_s = 20;
// An accepted change must be active on all nodes within this time.
constexpr std::int64_t settings_timeout_s = 5;

bool lists_address(const boost::json::value& answer, const std::string& address)
{
    const auto& list = answer.at("addresses").as_array();
    return std::any_of(list.begin(), list.end(),
                       [&](const auto& item)
                       { return item.at("address").as_string() == address; });
}

std::int64_t copies_of(const boost::json::value& node_status, const std::string& model)
{
    for (const auto& item : node_status.at("models").as_array())
    {
        const std::string key(item.at("model").as_string());
        if (key == model || key.ends_with("/" + model))
            return item.at("copies").to_number<std::int64_t>();
    }
    return 0;
}

} // namespace

std::map<std::string, runner::action> runner::cluster_expectations()
{
    std::map<std::string, action> table;
    table["ready"] = [this](statement& line) { this->expect_ready(line); };
    table["settings"] = [this](statement& line) { this->expect_settings(line); };
    table["addresses"] = [this](statement& line) { this->expect_addresses(line); };
    table["copies"] = [this](statement& line) { this->expect_copies(line); };
    table["event"] = [this](statement& line) { this->expect_event(line); };
    return table;
}

void runner::expect_ready(statement& line)
{
    const bool inverted = line.accept("not");
    const std::string only = line.option("node", "");
    const std::int64_t limit = line.take_timeout_s(default_timeout_s);
    this->wait_until(
        line, limit,
        [&]() -> std::string
        {
            for (scenario_process* node : this->processes.live(instance_kind::node))
            {
                if (!only.empty() && node->entry.id != only)
                    continue;
                const auto answer = this->processes.agent().fetch(node->entry.address,
                                                                  verb::get, "/readyz");
                const bool ready = answer && answer->result() == status::ok;
                if (ready == inverted)
                {
                    return node->entry.id + " answers " +
                           (answer ? answer->body() : "nothing");
                }
            }
            return "";
        });
}

void runner::expect_settings(statement& line)
{
    const bool any = line.accept("same");
    const std::uint64_t version =
        any ? 0 : static_cast<std::uint64_t>(line.number("a version, or 'same'"));
    const std::int64_t limit = line.take_timeout_s(settings_timeout_s);
    this->wait_until(
        line, limit,
        [&]() -> std::string
        {
            std::string seen;
            std::set<std::uint64_t> versions;
            for (scenario_process* node : this->processes.live(instance_kind::node))
            {
                const auto value = this->settings_version(node->entry.address);
                versions.insert(value);
                seen += node->entry.id + " has " + std::to_string(value) + " ";
            }
            const bool met =
                versions.size() == 1 && (any || *versions.begin() == version);
            return met ? "" : seen;
        });
}

void runner::expect_addresses(statement& line)
{
    const std::string how = line.word("contain or omit");
    if (how != "contain" && how != "omit")
        line.fail("expected contain or omit");
    const std::string name = line.word("a node");
    const std::string address = this->processes.find(name).entry.address;
    const std::int64_t limit = line.take_timeout_s(default_timeout_s);
    this->wait_until(
        line, limit,
        [&]() -> std::string
        {
            for (scenario_process* node : this->processes.live(instance_kind::node))
            {
                // The answer of the omitted node itself does not count, because
                // it may be out of date.
                if (how == "omit" && node->entry.id == name)
                    continue;
                const auto answer = this->processes.agent().get_json(node->entry.address,
                                                                     "/v1/addresses");
                if (!answer.is_object())
                    return node->entry.id + " did not answer";
                if (lists_address(answer, address) != (how == "contain"))
                    return node->entry.id + " answers " + boost::json::serialize(answer);
            }
            return "";
        });
}

void runner::expect_copies(statement& line)
{
    const std::string model = line.word("a model");
    const bool at_least = line.accept("at") && line.accept("least");
    const std::int64_t wanted = line.number("a number of copies");
    const std::int64_t limit = line.take_timeout_s(default_timeout_s);
    this->wait_until(
        line, limit,
        [&]() -> std::string
        {
            for (scenario_process* node : this->processes.live(instance_kind::node))
            {
                const auto answer = this->processes.agent().get_json(node->entry.address,
                                                                     "/admin/status");
                if (!answer.is_object())
                    return node->entry.id + " did not answer";
                const std::int64_t copies = copies_of(answer, model);
                if (at_least ? copies < wanted : copies != wanted)
                    return node->entry.id + " reports the number of copies as " +
                           std::to_string(copies);
            }
            return "";
        });
}

void runner::expect_event(statement& line)
{
    const std::string kind = line.word("a kind of event");
    const std::int64_t limit = line.take_timeout_s(default_timeout_s);
    this->wait_until(line, limit,
                     [&]
                     {
                         const bool seen =
                             this->timeline().find(" " + kind) != std::string::npos;
                         return seen ? "" : "no node reports an event of this kind";
                     });
}

} // namespace pomelorouter::scenario
