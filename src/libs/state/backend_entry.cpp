#include "state/backend_entry.hpp"

#include "state/enum_table.hpp"

#include <algorithm>

namespace pomelorouter::state
{

namespace
{

constexpr std::array<enum_name<backend_phase>, 2> phase_names{{
    {backend_phase::ready, "ready"},
    {backend_phase::draining, "draining"},
}};

} // namespace

std::string_view to_string(backend_phase phase)
{
    return name_of(phase_names, phase);
}

const loaded_model* backend_entry::find_model(std::string_view name) const
{
    const auto found =
        std::find_if(this->models.begin(), this->models.end(),
                     [name](const loaded_model& item) { return item.name == name; });
    return found == this->models.end() ? nullptr : &*found;
}

bool backend_entry::has_adapter(std::string_view model, std::string_view adapter) const
{
    const loaded_model* const found = this->find_model(model);
    return found != nullptr && std::find(found->adapters.begin(), found->adapters.end(),
                                         adapter) != found->adapters.end();
}

} // namespace pomelorouter::state
