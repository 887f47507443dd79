#include "app/commands/timeline_command.hpp"

#include "app/commands/node_client.hpp"
#include "app/commands/parse_options.hpp"
#include "state/error.hpp"
#include "state/json_reader.hpp"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <boost/program_options.hpp>

#include <algorithm>
#include <array>
#include <ctime>
#include <iostream>
#include <tuple>

namespace pomelorouter::app
{

namespace options = boost::program_options;

namespace
{

constexpr const char* timeline_target = "/admin/timeline";
constexpr std::int64_t us_per_s = 1'000'000;

struct event_sort_key
{
    std::int64_t wall_time_us;
    std::string node;
    std::uint64_t incarnation;
    std::uint64_t sequence;
    std::size_t index;

    bool operator<(const event_sort_key& other) const
    {
        return std::tie(this->wall_time_us, this->node, this->incarnation,
                        this->sequence) < std::tie(other.wall_time_us, other.node,
                                                   other.incarnation, other.sequence);
    }
};

event_sort_key make_sort_key(const boost::json::value& event, std::size_t index)
{
    state::json_reader reader(event, timeline_target, "/events/" + std::to_string(index));
    event_sort_key key;
    key.wall_time_us = static_cast<std::int64_t>(reader.get_uint64("wall_time_us"));
    key.node = reader.get_string("node");
    key.incarnation = reader.get_uint64("incarnation");
    key.sequence = reader.get_uint64("sequence");
    key.index = index;
    return key;
}

std::string format_time(std::int64_t wall_time_us)
{
    const std::time_t seconds = wall_time_us / us_per_s;
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    std::array<char, 32> date{};
    std::strftime(date.data(), date.size(), "%Y-%m-%dT%H:%M:%S", &parts);
    std::string fraction = std::to_string(wall_time_us % us_per_s);
    fraction.insert(0, 6 - fraction.size(), '0');
    return std::string(date.data()) + "." + fraction + "Z";
}

void print_event(const boost::json::value& event)
{
    state::json_reader reader(event, timeline_target, "/events");
    std::cout << format_time(static_cast<std::int64_t>(reader.get_uint64("wall_time_us")))
              << " " << reader.get_string("node") << " " << reader.get_string("kind");
    for (const auto& member : reader.get_object("fields"))
    {
        const boost::json::string* text = member.value().if_string();
        std::cout << " " << member.key() << "="
                  << (text != nullptr ? std::string(*text)
                                      : boost::json::serialize(member.value()));
    }
    std::cout << "\n";
}

/// Appends the events of one node. Reports a failure on stderr and returns false.
bool collect_events(const std::string& address, boost::json::array& events)
{
    try
    {
        node_client client({address});
        const boost::json::value answer =
            read_answer(client.get(timeline_target), address);
        state::json_reader reader(answer, address);
        for (const boost::json::value& event : reader.get_array("events"))
            events.push_back(event);
        return true;
    }
    catch (const state::error& failure)
    {
        std::cerr << "pomelorouter: " << failure.what() << "\n";
        return false;
    }
}

} // namespace

void sort_events(boost::json::array& events)
{
    std::vector<event_sort_key> keys;
    for (const boost::json::value& event : events)
        keys.push_back(make_sort_key(event, keys.size()));
    std::stable_sort(keys.begin(), keys.end());
    boost::json::array sorted;
    for (const event_sort_key& key : keys)
        sorted.push_back(std::move(events[key.index]));
    events = std::move(sorted);
}

exit_code timeline_command(const std::vector<std::string>& arguments)
{
    options::options_description description(
        "usage: pomelorouter timeline --node A --node B ... [--json]\n\n"
        "Collects the recent events of all the given nodes and prints them as one time "
        "line,\nin the order of the nodes' wall clocks. Nodes that do not answer are "
        "reported "
        "on\nstderr; the events of the others are printed.\n\noptions");
    description.add_options()("help,h", "show this help")(
        "node,n", options::value<std::vector<std::string>>()->composing()->required(),
        "ip:port of a node; all given nodes are queried")("json",
                                                          "print a JSON array of events");
    const auto parsed = parse_options(arguments, description);
    if (!parsed)
        return exit_code::success;
    const options::variables_map& values = *parsed;
    boost::json::array events;
    std::size_t answered = 0;
    for (const std::string& address : values["node"].as<std::vector<std::string>>())
        answered += collect_events(address, events) ? 1 : 0;
    if (answered == 0)
        return exit_code::unreachable;
    sort_events(events);
    if (values.count("json") > 0)
    {
        std::cout << boost::json::serialize(events) << "\n";
        return exit_code::success;
    }
    for (const boost::json::value& event : events)
        print_event(event);
    return exit_code::success;
}

} // namespace pomelorouter::app
