#include "coordination/placement.hpp"

#include "coordination/placement_round.hpp"

namespace pomelorouter::coordination
{

std::int64_t placement_engine::reserved_total() const
{
    std::int64_t total = 0;
    for (const auto& [key, bytes] : this->reserved)
        total += bytes;
    return total;
}

placement::placement() = default;

std::vector<placement_step> placement::plan(state::time_point now,
                                            const placement_input& input)
{
    if (input.tree == nullptr)
        return {};
    return placement_round(*this, now, input).run();
}

} // namespace pomelorouter::coordination
