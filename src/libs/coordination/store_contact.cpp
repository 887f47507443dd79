#include "coordination/store_contact.hpp"

namespace pomelorouter::coordination
{

namespace
{

/// Backend servers write about every 1.2 s and their entries expire after three
/// intervals, so an outage in which entries expire is longer than this.
constexpr state::milliseconds max_gap{2000};

} // namespace

void store_contact::on_response(state::time_point now)
{
    // The store may have failed meanwhile, for instance while this instance was
    // suspended.
    if (!this->begin || now - this->last > max_gap)
        this->begin = now;
    this->last = now;
}

std::optional<state::milliseconds> store_contact::duration(state::time_point now) const
{
    if (!this->begin || now - this->last > max_gap)
        return std::nullopt;
    return std::chrono::duration_cast<state::milliseconds>(this->last - *this->begin);
}

} // namespace pomelorouter::coordination
