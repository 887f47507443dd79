#include "coordination/retry_backoff.hpp"

#include <algorithm>

namespace pomelorouter::coordination
{

using state::attribute;
using state::microseconds;
using state::milliseconds;

retry_backoff::retry_backoff(milliseconds base, milliseconds max_delay_limit)
    : next_limit(base), max_delay(max_delay_limit)
{
}

retry_backoff::retry_backoff(const state::attribute_values& attributes)
    : retry_backoff(milliseconds(attributes.get(attribute::retry_base_ms)),
                    milliseconds(attributes.get(attribute::retry_max_ms)))
{
}

std::optional<microseconds> retry_backoff::next(state::time_point now,
                                                state::time_point deadline,
                                                random_source& random)
{
    if (now >= deadline)
        return std::nullopt;
    const auto time_left = std::chrono::duration_cast<microseconds>(deadline - now);
    const microseconds limit = std::min({this->next_limit, this->max_delay, time_left});
    this->next_limit = std::min(this->next_limit * 2, this->max_delay);
    return microseconds(
        static_cast<std::int64_t>(random.unit() * static_cast<double>(limit.count())));
}

} // namespace pomelorouter::coordination
