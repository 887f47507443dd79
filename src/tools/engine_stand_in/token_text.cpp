#include "token_text.hpp"

#include <xxhash.h>

namespace pomelorouter::tools
{

std::string token_text(const std::string& prompt, std::int64_t index)
{
    constexpr std::uint64_t vocabulary = 50000;
    const std::uint64_t hash = XXH3_64bits_withSeed(prompt.data(), prompt.size(),
                                                    static_cast<XXH64_hash_t>(index));
    return "t" + std::to_string(hash % vocabulary) + " ";
}

} // namespace pomelorouter::tools
