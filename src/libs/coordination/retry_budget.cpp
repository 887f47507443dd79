#include "coordination/retry_budget.hpp"

#include <algorithm>

namespace pomelorouter::coordination
{

namespace
{

// Requests add only three quarters of the share. The remaining quarter offsets tokens
// that had accumulated before a window began, so that the limit holds over any long
// enough window and not only from the start of the process.
constexpr double accrual_factor = 0.75;
constexpr double percent = 100.0;
// Ten additions of 0.1 sum to slightly less than 1.
constexpr double rounding_tolerance = 1e-9;

} // namespace

void retry_budget::on_request(std::int64_t retry_percent)
{
    this->tokens = std::min(
        this->capacity,
        this->tokens + accrual_factor * static_cast<double>(retry_percent) / percent);
}

bool retry_budget::try_take()
{
    if (this->tokens + rounding_tolerance < 1.0)
        return false;
    this->tokens -= 1.0;
    return true;
}

void retry_budget::give_back()
{
    this->tokens = std::min(this->capacity, this->tokens + 1.0);
}

} // namespace pomelorouter::coordination
