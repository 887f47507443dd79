#pragma once

#include "coordination/store_lease.hpp"

#include <string>

namespace pomelorouter::app
{

/// Serializes a lease record for the store.
std::string encode_lease_record(const coordination::lease_record& record);
/// Throws `state::error` naming the field.
coordination::lease_record decode_lease_record(const std::string& text);

} // namespace pomelorouter::app
