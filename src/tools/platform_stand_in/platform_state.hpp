#pragma once

#include "protocol/platform_api.hpp"
#include "state/clock.hpp"
#include "state/fleet.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace pomelorouter::tools
{

/// One stream of the log.
struct log_stream
{
    std::uint64_t first = 0;
    std::deque<std::string> records;

    std::uint64_t next() const { return this->first + this->records.size(); }
};

/// State of the platform stand-in: streams and instances. No input or output.
class platform_state
{
public:
    explicit platform_state(std::size_t retention_records);

    /// Appends a record, drops records over the retention, returns the offset.
    std::uint64_t append(const std::string& stream, std::string data);
    /// Returns whether `from` has expired.
    bool is_truncated(const std::string& stream, std::uint64_t from) const;
    protocol::log_page_body read(const std::string& stream, std::uint64_t from,
                                 std::size_t limit) const;
    std::uint64_t first(const std::string& stream) const;
    std::uint64_t next(const std::string& stream) const;

    void set_instance(const state::instance& item);
    void remove_instance(const std::string& id);
    const std::map<std::string, state::instance>& instances() const { return this->list; }

private:
    std::size_t retention;
    std::map<std::string, log_stream> streams;
    std::map<std::string, state::instance> list;
};

} // namespace pomelorouter::tools
