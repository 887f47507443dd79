#include "coordination/team_directory.hpp"

namespace pomelorouter::coordination
{

team_directory::team_directory(const state::gateway_config& config)
    : is_in_use(config.requires_keys)
{
    for (const state::team& team : config.teams)
    {
        for (const std::string& key : team.keys)
            this->holders.emplace(key, &team);
    }
}

const state::team* team_directory::find(std::string_view key) const
{
    const auto found = this->holders.find(key);
    return found == this->holders.end() ? nullptr : found->second;
}

} // namespace pomelorouter::coordination
