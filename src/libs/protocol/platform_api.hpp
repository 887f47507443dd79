#pragma once

#include "state/fleet.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace pomelorouter::protocol
{

/// One record in the response to a read of a log stream.
struct log_record_body
{
    std::uint64_t offset = 0;
    std::string data;
};

/// The response to a read of a log stream.
struct log_page_body
{
    /// Offset of the oldest record that the log stream still holds.
    std::uint64_t first = 0;
    /// Offset from which the next read continues.
    std::uint64_t next = 0;
    std::vector<log_record_body> records;
};

std::string format_append_response(std::uint64_t offset);
std::uint64_t parse_append_response(std::string_view body);
std::string format_log_page(const log_page_body& page);
log_page_body parse_log_page(std::string_view body);
/// Returns `first` from the response to a read of records that have expired.
std::uint64_t parse_first_offset(std::string_view body);

std::string format_instances(const std::vector<state::instance>& instances);
std::vector<state::instance> parse_instances(std::string_view body);

} // namespace pomelorouter::protocol
