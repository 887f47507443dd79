#include "coordination/prefix_index.hpp"

#include <xxhash.h>

#include <algorithm>

namespace pomelorouter::coordination
{

namespace
{
// About 64 tokens of text; engines cache prefixes in blocks of about this size.
constexpr std::size_t block_bytes = 256;
} // namespace

prefix_hashes::prefix_hashes(std::string_view model_key, std::string_view prompt)
    : count(std::min(prompt.size() / block_bytes, max_prefix_blocks))
{
    std::uint64_t hash = XXH3_64bits(model_key.data(), model_key.size());
    for (std::size_t i = 0; i < this->count; ++i)
    {
        hash = XXH3_64bits_withSeed(prompt.data() + i * block_bytes, block_bytes, hash);
        this->values[i] = hash;
    }
}

prefix_index::prefix_index(std::size_t buckets) : table(buckets) {}

void prefix_index::record(const prefix_hashes& prompt, engine_slot engine)
{
    for (const std::uint64_t hash : prompt.blocks())
        this->record_block(hash, engine);
}

void prefix_index::record_block(std::uint64_t hash, engine_slot engine)
{
    auto& bucket = this->table[hash & (this->table.size() - 1)];
    entry* target = bucket.data();
    for (entry& item : bucket)
    {
        if (item.hash == hash)
        {
            target = &item;
            break;
        }
        if (item.used < target->used)
            target = &item;
    }
    if (target->hash != hash)
        *target = entry{hash, 0, 0, {}};
    target->used = ++this->clock;
    // Moves the engine to the front; drops the least recent one if the entry is full.
    const auto last = target->engines.begin() + target->count;
    auto place = std::find(target->engines.begin(), last, engine);
    if (place == last && target->count < engines_per_entry)
        ++target->count;
    else if (place == last)
        --place;
    std::move_backward(target->engines.begin(), place, place + 1);
    target->engines[0] = engine;
}

prefix_match prefix_index::find(const prefix_hashes& prompt) const
{
    const auto blocks = prompt.blocks();
    for (std::size_t i = blocks.size(); i > 0; --i)
    {
        const std::uint64_t hash = blocks[i - 1];
        for (const entry& item : this->table[hash & (this->table.size() - 1)])
        {
            if (item.hash != hash || item.count == 0)
                continue;
            prefix_match match;
            match.engines = {item.engines.data(), item.count};
            match.covered = static_cast<double>(i) / static_cast<double>(blocks.size());
            return match;
        }
    }
    return {};
}

} // namespace pomelorouter::coordination
