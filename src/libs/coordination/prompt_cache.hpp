#pragma once

#include <cstdint>
#include <list>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace pomelorouter::coordination
{

/// One part of a prompt. Requests that share a part use the same id for it.
struct prompt_part
{
    std::uint64_t id = 0;
    std::uint32_t tokens = 0;
};

/// Estimates from the requests sent to an engine which prompt parts it has cached. Keeps
/// a bounded number of parts, whatever their size.
class prompt_cache
{
public:
    /// `capacity` is the number of tokens that the cache of the engine holds.
    explicit prompt_cache(std::int64_t capacity) : max_tokens(capacity) {}

    /// Returns the number of tokens at the start of the prompt that the engine has
    /// cached. A part counts only if all parts before it are cached for the same model
    /// and adapter, which `weights` identifies.
    std::uint32_t cached_tokens(std::string_view weights,
                                const std::vector<prompt_part>& parts) const;
    /// Records that the engine processes the prompt; evicts the least recently used
    /// parts.
    void record(std::string_view weights, const std::vector<prompt_part>& parts);
    void clear();
    /// Number of parts that are considered cached.
    std::size_t size() const { return this->items.size(); }

private:
    struct item
    {
        std::uint64_t key;
        std::uint32_t tokens;
    };

    std::int64_t max_tokens;
    std::int64_t kept_tokens = 0;
    /// Most recently used first.
    std::list<item> order;
    std::unordered_map<std::uint64_t, std::list<item>::iterator> items;
};

} // namespace pomelorouter::coordination
