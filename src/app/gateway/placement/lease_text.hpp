#pragma once

#include "coordination/store_lease.hpp"

#include <string>

namespace pomelorouter::app
{

/// Serializes a lease record for the store.
std::string lease_text(const coordination::lease_record& record);
/// Throws `state::error` naming the field.
coordination::lease_record read_lease_text(const std::string& text);

} // namespace pomelorouter::app
