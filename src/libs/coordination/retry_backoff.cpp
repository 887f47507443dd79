#include "coordination/retry_backoff.hpp"

#include <algorithm>

namespace pomelorouter::coordination
{

using state::attribute;
using state::microseconds;
using state::milliseconds;

retry_backoff::retry_backoff(milliseconds base, milliseconds most_delay)
    : bound(base), most(most_delay)
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
    const auto left = std::chrono::duration_cast<microseconds>(deadline - now);
    const microseconds limit = std::min({this->bound, this->most, left});
    this->bound = std::min(this->bound * 2, this->most);
    return microseconds(
        static_cast<std::int64_t>(random.unit() * static_cast<double>(limit.count())));
}

} // namespace pomelorouter::coordination
