#pragma once

#include "coordination/local_load.hpp"

#include <array>
#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

namespace pomelorouter::coordination
{

/// Maximum number of blocks of a prompt that are hashed.
inline constexpr std::size_t max_prefix_blocks = 16;

/// Hashes of the first 1, 2, 3... whole blocks of a prompt.
class prefix_hashes
{
public:
    /// Creates an object without blocks.
    prefix_hashes() = default;
    /// Hashes a prompt. A cached prefix can be reused only by the model that computed it,
    /// so the hashes depend on the key of the model.
    prefix_hashes(std::string_view model_key, std::string_view prompt);

    std::span<const std::uint64_t> blocks() const
    {
        return {this->values.data(), this->count};
    }

private:
    std::array<std::uint64_t, max_prefix_blocks> values{};
    std::size_t count = 0;
};

/// Engines that recently served a prefix, and the fraction of the prompt that it covers.
struct prefix_match
{
    std::span<const engine_slot> engines;
    double covered = 0.0;
};

/// Map of fixed size from prompt prefixes to the engines that served them. In a full
/// bucket, the least recently used entry is replaced.
class prefix_index
{
public:
    /// `buckets` must be a power of two.
    explicit prefix_index(std::size_t buckets = 4096);

    void record(const prefix_hashes& prompt, engine_slot engine);
    /// Finds the longest known prefix; the result has no engines if there is none.
    prefix_match find(const prefix_hashes& prompt) const;

private:
    static constexpr std::size_t entries_per_bucket = 4;
    static constexpr std::size_t engines_per_entry = 3;

    struct entry
    {
        std::uint64_t hash = 0;
        std::uint32_t used = 0;
        std::uint32_t count = 0;
        std::array<engine_slot, engines_per_entry> engines{};
    };

    void record_block(std::uint64_t hash, engine_slot engine);

    std::vector<std::array<entry, entries_per_bucket>> table;
    std::uint32_t clock = 0;
};

} // namespace pomelorouter::coordination
