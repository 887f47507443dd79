#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace pomelorouter::protocol
{

/// The API that a completion request uses: plain prompt or chat messages.
enum class completion_form
{
    completion,
    chat,
};

/// A completion request of a caller, through either API.
struct completion_request
{
    completion_form form = completion_form::completion;
    std::string model;
    std::string adapter;
    std::string prompt;
    std::int64_t max_tokens = 0;
    bool stream = false;
};

/// Parses a completion request; `model` may be `name` or `name:adapter`, and unknown
/// members are ignored. Throws `state::error`.
completion_request parse_completion_request(std::string_view body, completion_form form);

/// Fields that are the same in all response bodies of one completion.
struct completion_identity
{
    std::string id;
    std::string model;
    std::int64_t created_s = 0;
    completion_form form = completion_form::completion;
};

/// Formats the body of a response that is not streamed.
std::string format_completion(const completion_identity& identity, std::string_view text,
                              std::int64_t prompt_tokens, std::int64_t completion_tokens,
                              std::string_view finish_reason);
/// Formats one server-sent event of a streamed response. `finish_reason` is empty for all
/// events but the last.
std::string format_completion_event(const completion_identity& identity,
                                    std::string_view text,
                                    std::string_view finish_reason);

/// A node that a caller may connect to.
struct address_entry
{
    std::string address;
    std::string zone;
};

/// The response to the address query.
struct address_response
{
    std::vector<address_entry> addresses;
    /// Time for which the caller may cache the response, in seconds.
    std::int64_t ttl_s = 0;
    /// Idempotency keys issued to the caller; left out of the response if empty.
    std::vector<std::string> keys;
};

std::string format_addresses(const address_response& response);

} // namespace pomelorouter::protocol
