#pragma once

#include "state/clock.hpp"
#include "state/error.hpp"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace pomelorouter::transport
{

/// One record of a log stream.
struct log_record
{
    std::uint64_t offset = 0;
    std::string data;
};

/// Result of one read of a log stream.
struct log_page
{
    /// Oldest offset that is still in the log.
    std::uint64_t first = 0;
    /// Offset to read from next.
    std::uint64_t next = 0;
    std::vector<log_record> records;
};

/// The requested records were removed from the log; `first()` is the oldest offset that
/// is still there.
class log_truncated : public state::error
{
public:
    log_truncated(const std::string& stream, std::uint64_t first_offset);
    std::uint64_t first() const { return this->first_offset; }

private:
    std::uint64_t first_offset;
};

/// Interface to the append-only log of the platform.
class log_service
{
public:
    virtual ~log_service() = default;

    /// Appends a record and returns its offset. Throws `state::error`: after
    /// `log_unavailable` the record may or may not have been appended; after
    /// `rate_limited` or `connect_failed` it was not.
    virtual boost::asio::awaitable<std::uint64_t> append(std::string stream,
                                                         std::string data) = 0;
    /// Reads the records from offset `from` on and waits up to `wait` for the first one.
    /// Throws `log_truncated` or `state::error`.
    virtual boost::asio::awaitable<log_page> read(std::string stream, std::uint64_t from,
                                                  state::milliseconds wait) = 0;
};

} // namespace pomelorouter::transport
