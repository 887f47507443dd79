#include "coordination/retry_budget.hpp"

#include <algorithm>

namespace pomelorouter::coordination
{

namespace
{

// A quarter of the share stays unearned. It pays for the tokens that were saved up before
// a window began, so that the bound holds over windows and not only from the start.
constexpr double earned_part = 0.75;
constexpr double percent = 100.0;
// Ten additions of 0.1 sum to slightly less than 1.
constexpr double rounding = 1e-9;

} // namespace

void retry_budget::on_request(std::int64_t retry_percent)
{
    this->tokens = std::min(
        this->most,
        this->tokens + earned_part * static_cast<double>(retry_percent) / percent);
}

bool retry_budget::try_take()
{
    if (this->tokens + rounding < 1.0)
        return false;
    this->tokens -= 1.0;
    return true;
}

void retry_budget::give_back()
{
    this->tokens = std::min(this->most, this->tokens + 1.0);
}

} // namespace pomelorouter::coordination
