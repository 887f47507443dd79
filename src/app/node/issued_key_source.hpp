#pragma once

#include "app/node/settings_component.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace pomelorouter::app
{

/// Most keys handed out in one answer.
inline constexpr std::int64_t max_keys_per_query = 1000;

/// Makes idempotency keys that are bound to this process. Belongs to the serving thread.
class issued_key_source
{
public:
    explicit issued_key_source(const node_identity& identity);

    std::vector<std::string> make(std::int64_t count, std::int64_t now_s);

private:
    const node_identity& identity;
    std::uint64_t next_number = 0;
};

/// Reads the number of keys asked for from a request target; throws `state::error`.
std::int64_t parse_key_count(std::string_view target);

} // namespace pomelorouter::app
