#include "app/commands/settings_apply.hpp"

#include "state/clock.hpp"
#include "state/json_reader.hpp"
#include "state/json_text.hpp"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <istream>
#include <ostream>
#include <thread>

namespace pomelorouter::app
{

namespace
{

constexpr const char* settings_target = "/admin/settings";
// A node reads a proposal that is in the log within one long poll.
constexpr state::milliseconds verdict_timeout{10000};
constexpr state::milliseconds poll_period{500};

struct current_settings
{
    std::uint64_t version = 0;
    boost::json::value tree;
};

current_settings read_current(node_client& client)
{
    const boost::json::value answer =
        read_answer(client.get(settings_target), settings_target);
    state::json_reader reader(answer, settings_target);
    current_settings current;
    current.version = reader.get_uint64("version");
    current.tree = reader.require("tree");
    return current;
}

bool confirm(std::istream& input, std::ostream& output)
{
    output << "apply? [y/N] " << std::flush;
    std::string answer;
    std::getline(input, answer);
    return answer == "y" || answer == "yes";
}

exit_code report(std::string_view verdict, std::uint64_t version,
                 const std::string& reason, std::ostream& output)
{
    output << verdict << "; the settings are at version " << version;
    if (!reason.empty())
        output << " (" << reason << ")";
    output << "\n";
    if (verdict == "accepted")
        return exit_code::success;
    output << "nothing was changed; get the settings, repeat the edit and apply it\n";
    return exit_code::refused;
}

/// Polls the settings to find out whether the change was accepted, since the response to
/// it was lost.
exit_code find_verdict(node_client& client, const settings_change& change,
                       std::uint64_t base, std::ostream& output)
{
    output << "the response was lost; reading the settings to find the verdict\n";
    const auto end = std::chrono::steady_clock::now() + verdict_timeout;
    while (std::chrono::steady_clock::now() < end)
    {
        try
        {
            const current_settings current = read_current(client);
            if (current.version > base)
            {
                if (current.tree == change.tree)
                    return report("accepted", current.version, "", output);
                output << "another change was accepted, before or after this one; see "
                          "settings history\n";
                return exit_code::refused;
            }
        }
        catch (const state::error&)
        {
            // No node answered; the next poll tries again.
        }
        std::this_thread::sleep_for(poll_period);
    }
    output << "the verdict is unknown: the change may still be accepted; see settings "
              "history before applying it again\n";
    return exit_code::unreachable;
}

std::string make_body(const settings_change& change, std::uint64_t base)
{
    return boost::json::serialize(boost::json::object{
        {"base_version", base}, {"author", change.author}, {"tree", change.tree}});
}

bool is_outcome_unknown(const boost::json::object& answer)
{
    const auto* refused = answer.if_contains("error");
    const auto* run = refused != nullptr && refused->is_object()
                          ? refused->get_object().if_contains("run")
                          : nullptr;
    return run != nullptr && run->is_string() && run->get_string() == "unknown";
}

} // namespace

exit_code apply_settings(node_client& client, const settings_change& change,
                         std::istream& input, std::ostream& output)
{
    const current_settings current = read_current(client);
    const std::uint64_t base = change.base_version.value_or(current.version);
    const auto changes = state::compare_json(current.tree, change.tree);
    output << "version in force: " << current.version << ", based on: " << base << "\n";
    for (const state::json_change& item : changes)
        output << state::format_change(item) << "\n";
    if (changes.empty())
    {
        output << "no change\n";
        return exit_code::success;
    }
    if (base != current.version)
    {
        return report("conflict", current.version,
                      "the change is based on version " + std::to_string(base), output);
    }
    if (change.ask_confirmation && !confirm(input, output))
    {
        output << "not applied\n";
        return exit_code::refused;
    }
    transport::http_response response;
    try
    {
        response = client.post(settings_target, make_body(change, base));
    }
    catch (const nodes_unreachable& failure)
    {
        if (!failure.may_have_acted())
            throw;
        return find_verdict(client, change, base, output);
    }
    const boost::json::value answer = state::parse_json(response.body(), settings_target);
    if (answer.is_object() && is_outcome_unknown(answer.get_object()))
        return find_verdict(client, change, base, output);
    if (!answer.is_object() || !answer.get_object().contains("verdict"))
    {
        read_answer(response, settings_target);
        throw state::error(state::error_code::wrong_answer, settings_target,
                           "the response has no verdict");
    }
    state::json_reader reader(answer, settings_target);
    const std::string verdict = reader.get_string("verdict");
    const std::uint64_t version = reader.get_uint64("version");
    return report(verdict, version, reader.get_string("reason", ""), output);
}

} // namespace pomelorouter::app
