#include "coordination/backend_crash.hpp"

#include <array>
#include <cinttypes>
#include <cstdio>

namespace pomelorouter::coordination
{

std::string format_part_ids(const std::vector<std::uint64_t>& parts)
{
    std::string result;
    for (const std::uint64_t part : parts)
    {
        std::array<char, 20> text{};
        std::snprintf(text.data(), text.size(), "%" PRIx64, part);
        result += (result.empty() ? "" : ",") + std::string(text.data());
    }
    return result;
}

} // namespace pomelorouter::coordination
