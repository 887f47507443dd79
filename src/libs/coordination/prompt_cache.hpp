#pragma once

#include <cstdint>
#include <list>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace pomelorouter::coordination
{

/// One part of a prompt. Requests that share a part use the same id.
struct prompt_part
{
    std::uint64_t id = 0;
    std::uint32_t tokens = 0;
};

/// Estimate of the prompt parts that one engine keeps, from the requests sent to it.
class prompt_cache
{
public:
    /// `capacity` is the number of tokens that the engine's memory holds.
    explicit prompt_cache(std::int64_t capacity) : most_tokens(capacity) {}

    /// Tokens at the start of the prompt that the engine need not compute again. A part
    /// counts only if all parts before it do, for the same model and adapter.
    std::uint32_t cached_tokens(std::string_view weights,
                                const std::vector<prompt_part>& parts) const;
    /// The engine computes the prompt; the parts used longest ago make room.
    void record(std::string_view weights, const std::vector<prompt_part>& parts);
    void clear();

private:
    struct item
    {
        std::uint64_t key;
        std::uint32_t tokens;
    };

    std::int64_t most_tokens;
    std::int64_t kept_tokens = 0;
    /// Most recently used first.
    std::list<item> order;
    std::unordered_map<std::uint64_t, std::list<item>::iterator> items;
};

} // namespace pomelorouter::coordination
