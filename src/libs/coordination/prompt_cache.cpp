#include "coordination/prompt_cache.hpp"

#include <xxhash.h>

namespace pomelorouter::coordination
{

namespace
{

/// An engine caches fewer parts unless they have under 100 tokens each (100,000 tokens in
/// all). The table would take 100 KB for each engine.
constexpr std::size_t max_parts = 1024;

std::uint64_t chain_hash(std::uint64_t before, const prompt_part& part)
{
    return XXH3_64bits_withSeed(&part.id, sizeof part.id, before);
}

} // namespace

std::uint32_t prompt_cache::cached_tokens(std::string_view weights,
                                          const std::vector<prompt_part>& parts) const
{
    std::uint64_t key = XXH3_64bits(weights.data(), weights.size());
    std::uint32_t tokens = 0;
    for (const prompt_part& part : parts)
    {
        key = chain_hash(key, part);
        if (this->items.find(key) == this->items.end())
            break;
        tokens += part.tokens;
    }
    return tokens;
}

void prompt_cache::record(std::string_view weights, const std::vector<prompt_part>& parts)
{
    std::uint64_t key = XXH3_64bits(weights.data(), weights.size());
    for (const prompt_part& part : parts)
    {
        key = chain_hash(key, part);
        const auto found = this->items.find(key);
        if (found != this->items.end())
        {
            this->order.splice(this->order.begin(), this->order, found->second);
            continue;
        }
        this->order.push_front({key, part.tokens});
        this->items[key] = this->order.begin();
        this->kept_tokens += part.tokens;
    }
    while (!this->order.empty() &&
           (this->kept_tokens > this->max_tokens || this->items.size() > max_parts))
    {
        this->kept_tokens -= this->order.back().tokens;
        this->items.erase(this->order.back().key);
        this->order.pop_back();
    }
}

void prompt_cache::clear()
{
    this->order.clear();
    this->items.clear();
    this->kept_tokens = 0;
}

} // namespace pomelorouter::coordination
