#pragma once

#include "state/clock.hpp"
#include "state/error.hpp"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace pomelorouter::transport
{

/// One record of a stream.
struct log_record
{
    std::uint64_t offset = 0;
    std::string data;
};

/// Part of a stream, with the offsets at which it begins and goes on.
struct log_page
{
    /// Oldest offset that the log still keeps.
    std::uint64_t first = 0;
    /// Offset to read from next.
    std::uint64_t next = 0;
    std::vector<log_record> records;
};

/// The records asked for have expired; `first` is the oldest offset that is kept.
class log_truncated : public state::error
{
public:
    log_truncated(const std::string& stream, std::uint64_t first_offset);
    std::uint64_t first() const { return this->first_offset; }

private:
    std::uint64_t first_offset;
};

/// The platform's append-only log.
class log_service
{
public:
    virtual ~log_service() = default;

    /// Returns the record's offset. After `log_unavailable` the record may or may not
    /// have been appended; after `rate_limited` or `connect_failed` it was not.
    virtual boost::asio::awaitable<std::uint64_t> append(std::string stream,
                                                         std::string data) = 0;
    /// Reads from `from`, waiting up to `wait` for a record. Throws `log_truncated` or
    /// `error`.
    virtual boost::asio::awaitable<log_page> read(std::string stream, std::uint64_t from,
                                                  state::milliseconds wait) = 0;
};

} // namespace pomelorouter::transport
