#include "app/node/issued_key_source.hpp"

#include "protocol/issued_key.hpp"
#include "state/error.hpp"
#include "transport/http_types.hpp"

#include <charconv>

namespace pomelorouter::app
{

issued_key_source::issued_key_source(const node_identity& node) : identity(node) {}

std::vector<std::string> issued_key_source::make(std::int64_t count, std::int64_t now_s)
{
    std::vector<std::string> keys;
    keys.reserve(static_cast<std::size_t>(count));
    for (std::int64_t i = 0; i < count; ++i)
    {
        keys.push_back(protocol::format_issued_key(
            {this->identity.id, this->identity.incarnation, now_s, this->next_number++}));
    }
    return keys;
}

std::int64_t parse_key_count(std::string_view target)
{
    const std::string_view text = transport::target_query(target, "keys");
    if (text.empty())
        return 0;
    std::int64_t count = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), count);
    if (parsed.ec != std::errc() || parsed.ptr != text.data() + text.size() ||
        count < 0 || count > max_keys_per_query)
    {
        throw state::error(state::error_code::invalid_argument, "query keys",
                           "expected a number of keys from 0 to " +
                               std::to_string(max_keys_per_query));
    }
    return count;
}

} // namespace pomelorouter::app
