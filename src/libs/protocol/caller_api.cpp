#include "protocol/caller_api.hpp"

#include "state/error.hpp"
#include "state/json_reader.hpp"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <utility>

namespace pomelorouter::protocol
{

using state::error;
using state::error_code;
using state::json_reader;

namespace
{

constexpr const char* document = "body";
constexpr std::int64_t max_tokens_limit = 1'000'000;
constexpr std::int64_t default_max_tokens = 256;
constexpr std::size_t max_body_bytes = 64 * 1024 * 1024;

std::string parse_messages(json_reader& reader)
{
    std::string prompt;
    std::size_t index = 0;
    for (const boost::json::value& item : reader.get_array("messages"))
    {
        const std::string pointer =
            reader.pointer_of("messages") + "/" + std::to_string(index++);
        json_reader message(item, document, pointer);
        prompt += message.get_string("role");
        prompt += ": ";
        prompt += message.get_string("content");
        prompt += '\n';
    }
    if (index == 0)
    {
        throw error(error_code::invalid_argument, reader.where("messages"),
                    "the list is empty; expected at least one message");
    }
    return prompt;
}

} // namespace

completion_request parse_completion_request(std::string_view body, completion_form form)
{
    const boost::json::value value =
        state::parse_json(body, document, {max_body_bytes, 32});
    json_reader reader(value, document);
    completion_request request;
    request.form = form;
    request.model = reader.get_string("model");
    const std::size_t colon = request.model.find(':');
    if (colon != std::string::npos)
    {
        request.adapter = request.model.substr(colon + 1);
        request.model.resize(colon);
    }
    if (request.model.empty())
    {
        throw error(error_code::invalid_argument, reader.where("model"),
                    "the model name is empty; expected model or model:adapter");
    }
    request.prompt = form == completion_form::chat ? parse_messages(reader)
                                                   : reader.get_string("prompt");
    request.max_tokens =
        reader.get_int("max_tokens", 1, max_tokens_limit, default_max_tokens);
    request.stream = reader.get_bool("stream", false);
    // Clients routinely send sampling parameters. Unknown members are ignored instead of
    // rejected, so finish() is not called.
    return request;
}

std::string format_completion(const completion_identity& identity, std::string_view text,
                              std::int64_t prompt_tokens, std::int64_t completion_tokens,
                              std::string_view finish_reason)
{
    const bool chat = identity.form == completion_form::chat;
    boost::json::object choice{{"index", 0}, {"finish_reason", finish_reason}};
    if (chat)
        choice["message"] = boost::json::object{{"role", "assistant"}, {"content", text}};
    else
        choice["text"] = text;
    return boost::json::serialize(boost::json::object{
        {"id", identity.id},
        {"object", chat ? "chat.completion" : "text_completion"},
        {"created", identity.created_s},
        {"model", identity.model},
        {"choices", boost::json::array{std::move(choice)}},
        {"usage",
         boost::json::object{{"prompt_tokens", prompt_tokens},
                             {"completion_tokens", completion_tokens},
                             {"total_tokens", prompt_tokens + completion_tokens}}}});
}

std::string format_completion_event(const completion_identity& identity,
                                    std::string_view text, std::string_view finish_reason)
{
    const bool chat = identity.form == completion_form::chat;
    boost::json::object choice{{"index", 0}};
    if (finish_reason.empty())
        choice["finish_reason"] = nullptr;
    else
        choice["finish_reason"] = finish_reason;
    if (chat && text.empty())
        choice["delta"] = boost::json::object{};
    else if (chat)
        choice["delta"] = boost::json::object{{"content", text}};
    else
        choice["text"] = text;
    return "data: " +
           boost::json::serialize(boost::json::object{
               {"id", identity.id},
               {"object", chat ? "chat.completion.chunk" : "text_completion"},
               {"created", identity.created_s},
               {"model", identity.model},
               {"choices", boost::json::array{std::move(choice)}}}) +
           "\n\n";
}

std::string format_addresses(const address_response& response)
{
    boost::json::array addresses;
    for (const address_entry& entry : response.addresses)
    {
        addresses.push_back(
            boost::json::object{{"address", entry.address}, {"zone", entry.zone}});
    }
    boost::json::object body{{"addresses", std::move(addresses)},
                             {"ttl_s", response.ttl_s}};
    if (!response.keys.empty())
        body["keys"] = boost::json::array(response.keys.begin(), response.keys.end());
    return boost::json::serialize(body);
}

} // namespace pomelorouter::protocol
