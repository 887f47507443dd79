#pragma once

#include "app/node/settings_component.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace pomelorouter::app
{

/// Maximum number of keys in one response.
inline constexpr std::int64_t max_keys_per_query = 1000;

/// Issues idempotency keys that are bound to this process. Used on the serving thread
/// only.
class issued_key_source
{
public:
    explicit issued_key_source(const node_identity& identity);

    /// Issues `count` keys with `now_s`, in Unix seconds, as their time of issue.
    std::vector<std::string> make(std::int64_t count, std::int64_t now_s);

private:
    const node_identity& identity;
    std::uint64_t next_number = 0;
};

/// Reads the query parameter `keys` of a request target; 0 if there is none. Throws
/// `state::error` if it is not a number from 0 to `max_keys_per_query`.
std::int64_t parse_key_count(std::string_view target);

} // namespace pomelorouter::app
