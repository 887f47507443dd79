#pragma once

#include "coordination/store_lease.hpp"

#include <cstdint>
#include <string>

namespace pomelorouter::app
{

/// Returns the key of the lease's record in an era of the store.
std::string lease_key_of(std::uint64_t era);
/// Serializes a lease record for the store.
std::string encode_lease_record(const coordination::lease_record& record);
/// Throws `state::error` naming the field.
coordination::lease_record decode_lease_record(const std::string& text);

} // namespace pomelorouter::app
