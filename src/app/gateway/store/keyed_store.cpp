#include "app/gateway/store/keyed_store.hpp"

#include <xxhash.h>

namespace pomelorouter::app
{

namespace
{

/// Half of the bits are enough to tell the few stores of a fleet apart, and shorten
/// heartbeats.
std::uint64_t id_of(const std::string& address)
{
    return std::uint64_t{XXH32(address.data(), address.size(), 0)} + 1;
}

} // namespace

store_returned::store_returned(const std::string& place, std::uint64_t named_era)
    : store_changed(state::error_code::log_unavailable, place,
                    "the store has returned from an older copy, era " +
                        std::to_string(named_era))
{
}

store_moved::store_moved(const std::string& earlier_address)
    : store_changed(state::error_code::log_unavailable, earlier_address,
                    "the store at another address is used")
{
}

keyed_store::keyed_store(const std::string& address) : store_id(id_of(address)) {}

void keyed_store::move_to(const std::string& address)
{
    this->newest_era = 0;
    this->store_id = id_of(address);
    this->set_address(address);
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
