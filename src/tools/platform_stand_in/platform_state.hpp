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

/// Limits of the log and of the instance list.
struct platform_limits
{
    std::size_t retention_records = 100000;
    /// Age at which a record expires; 0 means never.
    state::milliseconds retention_time{0};
    /// Appends in any one-second window over all streams; 0 means no limit.
    std::size_t appends_per_s = 0;
    /// Delay until readers see a change of the instance list.
    state::milliseconds list_lag{0};
};

/// One stream of the log.
struct log_stream
{
    struct record
    {
        state::time_point appended;
        std::string data;
    };

    std::uint64_t first = 0;
    std::deque<record> records;

    std::uint64_t next() const { return this->first + this->records.size(); }
};

/// State of the platform stand-in: streams and instances. Performs no I/O.
class platform_state
{
public:
    using instance_map = std::map<std::string, state::instance>;

    explicit platform_state(const platform_limits& limits);

    /// Counts an append; returns false without counting it if `appends_per_s` is reached.
    bool admit_append(state::time_point now);
    /// Appends a record and returns its offset.
    std::uint64_t append(const std::string& stream, std::string data,
                         state::time_point now);
    /// Drops the records that exceed the retention count or time.
    void expire(state::time_point now);
    /// Returns whether the record at offset `from` has expired.
    bool is_truncated(const std::string& stream, std::uint64_t from) const;
    /// Returns up to `limit` records from offset `from`, which must not have expired.
    protocol::log_page_body read(const std::string& stream, std::uint64_t from,
                                 std::size_t limit) const;
    std::uint64_t first(const std::string& stream) const;
    std::uint64_t next(const std::string& stream) const;
    const std::map<std::string, log_stream>& all_streams() const { return this->streams; }

    void set_instance(const state::instance& item, state::time_point now);
    void remove_instance(const std::string& id, state::time_point now);
    /// Returns the instance list as it was `list_lag` ago.
    std::vector<state::instance> visible_instances(state::time_point now);

private:
    struct list_version
    {
        state::time_point since;
        instance_map instances;
    };

    void change_list(instance_map next, state::time_point now);

    platform_limits limits;
    std::map<std::string, log_stream> streams;
    std::deque<state::time_point> recent_appends;
    /// Oldest first; the last one is current. Versions that no reader sees any more are
    /// dropped.
    std::deque<list_version> list_versions;
};

} // namespace pomelorouter::tools
