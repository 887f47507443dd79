#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace pomelorouter::protocol
{

/// The two usual forms of a completion request.
enum class completion_form
{
    completion,
    chat,
};

/// A completion request of a caller, in either form.
struct completion_request
{
    completion_form form = completion_form::completion;
    std::string model;
    std::string adapter;
    std::string prompt;
    std::int64_t max_tokens = 0;
    bool stream = false;
};

/// Reads a completion request; `model` may be `name` or `name:adapter`. Throws
/// `state::error`.
completion_request parse_completion_request(std::string_view body, completion_form form);

/// Parts of every response body of one completion.
struct completion_identity
{
    std::string id;
    std::string model;
    std::int64_t created_s = 0;
    completion_form form = completion_form::completion;
};

/// The body of a whole response.
std::string format_completion(const completion_identity& identity, std::string_view text,
                              std::int64_t prompt_tokens, std::int64_t completion_tokens,
                              std::string_view finish_reason);
/// One server-sent event of a streamed response; the last one has a finish reason.
std::string format_completion_event(const completion_identity& identity,
                                    std::string_view text,
                                    std::string_view finish_reason);

/// A node that a caller may connect to.
struct address_entry
{
    std::string address;
    std::string zone;
};

/// The answer to the address query.
struct address_response
{
    std::vector<address_entry> addresses;
    std::int64_t ttl_s = 0;
    std::vector<std::string> keys;
};

std::string format_addresses(const address_response& response);

} // namespace pomelorouter::protocol
