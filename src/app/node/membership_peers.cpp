#include "app/node/membership_peers.hpp"

namespace pomelorouter::app
{

membership_peers::membership_peers(const coordination::membership& source)
    : members(source)
{
}

bool membership_peers::is_dead(const std::string& node, std::uint64_t incarnation) const
{
    return this->members.is_known_dead(node, incarnation);
}

std::size_t membership_peers::lease_rank(const std::string& scope) const
{
    return this->members.rank(scope);
}

bool membership_peers::may_hold_lease() const
{
    // A node that is cut off or was paused may be about to lose the lease again.
    return this->members.health() == coordination::own_health::healthy;
}

} // namespace pomelorouter::app
