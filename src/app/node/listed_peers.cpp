#include "app/node/listed_peers.hpp"

#include <xxhash.h>

#include <algorithm>
#include <string_view>

namespace pomelorouter::app
{

namespace
{

std::uint64_t weight(std::string_view node, std::string_view scope)
{
    const std::uint64_t seed = XXH3_64bits(scope.data(), scope.size());
    return XXH3_64bits_withSeed(node.data(), node.size(), seed);
}

} // namespace

listed_peers::listed_peers(const node_identity& node) : identity(node) {}

void listed_peers::on_instances(const instances_listed& event)
{
    this->has_list = true;
    this->present.clear();
    this->live.clear();
    for (const state::instance& item : event.instances)
    {
        if (item.kind != state::instance_kind::node)
            continue;
        this->present.insert(item.id);
        if (item.state == state::instance_state::live)
            this->live.insert(item.id);
    }
}

void listed_peers::contribute(state::node_view&) {}

bool listed_peers::is_dead(const std::string& node, std::uint64_t incarnation) const
{
    if (node == this->identity.id)
        return incarnation != this->identity.incarnation;
    return this->has_list && !this->present.contains(node);
}

std::size_t listed_peers::lease_rank(const std::string& scope) const
{
    const std::uint64_t own = weight(this->identity.id, scope);
    return static_cast<std::size_t>(std::count_if(this->live.begin(), this->live.end(),
                                                  [&](const std::string& node) {
                                                      return node != this->identity.id &&
                                                             weight(node, scope) > own;
                                                  }));
}

} // namespace pomelorouter::app
