#include "app/gateway/store/keyed_store.hpp"

namespace pomelorouter::app
{

store_returned::store_returned(const std::string& place, std::uint64_t named_era)
    : state::error(state::error_code::log_unavailable, place,
                   "the store has returned from an older copy, era " +
                       std::to_string(named_era))
{
}

bool keyed_store::on_era(std::uint64_t named)
{
    if (named == 0)
        return true;
    if (named < this->newest_era)
        return false;
    if (named > this->newest_era)
        this->era_changed(std::exchange(this->newest_era, named));
    return true;
}

} // namespace pomelorouter::app
