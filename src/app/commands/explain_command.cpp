#include "app/commands/explain_command.hpp"

#include "app/commands/node_client.hpp"
#include "app/commands/parse_options.hpp"
#include "state/error.hpp"
#include "state/json_text.hpp"
#include "transport/address.hpp"

#include <boost/json/serialize.hpp>
#include <boost/program_options.hpp>

#include <charconv>
#include <cstdint>
#include <iostream>
#include <limits>
#include <sstream>
#include <string_view>

namespace pomelorouter::app
{

namespace options = boost::program_options;
using state::error;
using state::error_code;

namespace
{

constexpr const char* endpoint = "/gateway/explain";
constexpr std::int64_t max_deadline_ms = 3600000;
constexpr std::int64_t max_tokens = std::numeric_limits<std::uint32_t>::max();

std::int64_t parse_number(std::string_view text, const std::string& argument,
                          std::int64_t low, std::int64_t high)
{
    std::int64_t value = 0;
    const char* const end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, value);
    if (parsed.ec != std::errc() || parsed.ptr != end || value < low || value > high)
        throw error(error_code::invalid_argument, argument,
                    "expected a number from " + std::to_string(low) + " to " +
                        std::to_string(high));
    return value;
}

void read_tokens(std::string_view text, boost::json::object& query)
{
    const std::size_t comma = text.find(',');
    if (comma == std::string_view::npos)
        throw error(error_code::invalid_argument, "--tokens",
                    "expected two numbers as IN,OUT");
    query["prompt_tokens"] =
        parse_number(text.substr(0, comma), "--tokens", 0, max_tokens);
    query["output_tokens"] =
        parse_number(text.substr(comma + 1), "--tokens", 0, max_tokens);
}

/// Formats a member, or "none" for null.
std::string text_of(const boost::json::value& value)
{
    if (value.is_null())
        return "none";
    if (value.is_string())
        return std::string(value.get_string());
    std::ostringstream output;
    if (value.is_double())
        output << value.get_double();
    else
        output << value;
    return output.str();
}

std::string text_of(const boost::json::object& object, std::string_view key)
{
    const boost::json::value* const value = object.if_contains(key);
    return value == nullptr ? "none" : text_of(*value);
}

/// Prints the members of an object as `key value`, the first without its key.
void print_members(std::ostream& output, const boost::json::object& object)
{
    bool is_first = true;
    for (const auto& [key, value] : object)
    {
        if (value.is_object())
        {
            output << ", " << key << ": ";
            print_members(output, value.get_object());
        }
        else if (is_first)
            output << text_of(value);
        else
            output << ", " << key << " " << text_of(value);
        is_first = false;
    }
}

void print_decision(std::ostream& output, const boost::json::object& answer)
{
    output << "decision:   " << text_of(answer, "decision");
    if (answer.contains("backend"))
        output << " to " << text_of(answer, "backend");
    if (answer.contains("status"))
        output << " with " << text_of(answer, "status") << " "
               << text_of(answer, "error");
    if (answer.contains("reason"))
        output << ", reason: " << text_of(answer, "reason");
    if (answer.contains("retry_after_ms"))
        output << ", the caller returns after " << text_of(answer, "retry_after_ms")
               << " ms";
    output << "\n";
}

std::string queue_text(const boost::json::object& answer)
{
    if (answer.at("queue_ms").is_null())
        return "not compared with a limit";
    return text_of(answer, "queue_ms") + " ms of at most " +
           text_of(answer, "queue_limit_ms") + " ms";
}

} // namespace

std::optional<explain_arguments>
read_explain_arguments(const std::vector<std::string>& arguments)
{
    options::options_description description(
        "usage: pomelorouter explain --gateway ADDRESS --host HOST --path PATH "
        "[OPTION ...]\n\n"
        "Prints where a gateway would send a request now, and why. Nothing is sent "
        "to a\nbackend server, and nothing is counted.\n\noptions");
    const auto text = [] { return options::value<std::string>(); };
    description.add_options()("help,h", "show this help")(
        "gateway,g", text()->required(), "ip:port of the gateway's control_listen")(
        "host", text()->required(), "host of the request")("path", text()->required(),
                                                           "path of the request")(
        "method", text()->default_value("POST"),
        "method of the request")("key", text(), "key of the caller's team")(
        "model", text(), "name of the model")("adapter", text(), "name of the adapter")(
        "tokens", text(), "IN,OUT: prompt tokens and largest number of output tokens")(
        "deadline-ms", text(), "time for which the caller waits")(
        "json", options::bool_switch(), "print the answer as JSON");
    const auto parsed = parse_options(arguments, description);
    if (!parsed)
        return std::nullopt;
    const options::variables_map& values = *parsed;
    explain_arguments result;
    result.gateway = values["gateway"].as<std::string>();
    try
    {
        transport::parse_address(result.gateway);
    }
    catch (const error& failure)
    {
        throw error(error_code::invalid_argument, "--gateway", failure.expected());
    }
    for (const char* const name : {"host", "path", "method", "key", "model", "adapter"})
    {
        if (values.count(name) == 0)
            continue;
        const std::string& value = values[name].as<std::string>();
        if (value.empty())
            throw error(error_code::invalid_argument, std::string("--") + name,
                        "expected a value that is not empty");
        result.query[name] = value;
    }
    if (!result.query["path"].get_string().starts_with('/'))
        throw error(error_code::invalid_argument, "--path",
                    "expected a path that begins with /");
    if (result.query.contains("adapter") && !result.query.contains("model"))
        throw error(error_code::invalid_argument, "--adapter",
                    "expected --model with the model of the adapter");
    if (values.count("tokens") > 0)
        read_tokens(values["tokens"].as<std::string>(), result.query);
    if (values.count("deadline-ms") > 0)
        result.query["deadline_ms"] = parse_number(
            values["deadline-ms"].as<std::string>(), "--deadline-ms", 1, max_deadline_ms);
    result.prints_json = values["json"].as<bool>();
    return result;
}

std::string format_explanation(const boost::json::value& answer)
{
    const boost::json::object& object = answer.as_object();
    std::ostringstream output;
    print_decision(output, object);
    output << "gateway:    " << text_of(object, "gateway") << ", configuration "
           << text_of(object, "config_version") << "\n";
    for (const char* const name : {"route", "team"})
    {
        output << name << ":" << std::string(11 - std::string_view(name).size(), ' ');
        const boost::json::value& part = object.at(name);
        if (part.is_object())
            print_members(output, part.get_object());
        else
            output << "none";
        output << "\n";
    }
    output << "request:    service " << text_of(object, "service") << ", weights "
           << text_of(object, "weights") << ", rank " << text_of(object, "rank")
           << ", time limit " << text_of(object, "time_limit_ms") << " ms\n"
           << "queue:      " << queue_text(object) << ", "
           << text_of(object, "waiting_here") << " requests wait at this gateway\n"
           << "candidates: " << object.at("candidates").as_array().size() << "\n";
    for (const boost::json::value& item : object.at("candidates").as_array())
    {
        output << "  ";
        print_members(output, item.as_object());
        output << "\n";
    }
    return output.str();
}

exit_code explain_command(const std::vector<std::string>& arguments)
{
    const auto parsed = read_explain_arguments(arguments);
    if (!parsed)
        return exit_code::success;
    node_client client({parsed->gateway}, "--gateway");
    const boost::json::value answer = read_answer(
        client.post(endpoint, boost::json::serialize(parsed->query)), endpoint);
    std::cout << (parsed->prints_json ? state::format_pretty(answer)
                                      : format_explanation(answer));
    return exit_code::success;
}

} // namespace pomelorouter::app
