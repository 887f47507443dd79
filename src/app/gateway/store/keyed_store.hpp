#pragma once

#include "state/clock.hpp"
#include "state/error.hpp"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace pomelorouter::app
{

/// The topics of the platform's store that a gateway uses.
enum class store_topic
{
    /// Written by the operator.
    settings,
    /// Written by the backend servers.
    backend_servers,
    /// Written by the gateways: the running gateways, the placement lease, and prompt
    /// parts that crash backend servers.
    members,
    lease,
    prompt_quarantine,
};

/// One record of a topic: the newest value of its key, or the key's removal.
struct keyed_record
{
    std::uint64_t offset = 0;
    std::string key;
    std::string value;
    bool is_removal = false;
};

struct keyed_page
{
    /// Offset to read from next.
    std::uint64_t next = 0;
    std::vector<keyed_record> records;
};

/// Result of a conditional append.
struct append_result
{
    /// Whether the record was appended. If not, the end of the topic differed from the
    /// expected one.
    bool is_appended = false;
    /// End of the topic after the call, as reported by the store.
    std::uint64_t end = 0;
};

/// The records of the store are no longer those of the time at which the call was
/// prepared. Positions and conditions from before are invalid, and an append may have
/// been lost or not.
class store_changed : public state::error
{
public:
    using state::error::error;
};

/// The store has returned from an older copy.
class store_returned : public store_changed
{
public:
    store_returned(const std::string& place, std::uint64_t named_era);
};

/// The store at another address is used.
class store_moved : public store_changed
{
public:
    explicit store_moved(const std::string& earlier_address);
};

/// The platform's store: topics of keyed records. The store counts its returns from an
/// older copy as eras; 0 means that no era is known. Eras and offsets of two stores have
/// nothing to do with each other.
class keyed_store
{
public:
    using era_callback = std::function<void(std::uint64_t before)>;

    virtual ~keyed_store() = default;

    /// Identifies the store among the gateways; never 0.
    std::uint64_t id() const { return this->store_id; }
    /// Uses the store at another address from now on. Its era is not known yet. Calls in
    /// progress throw `store_moved`.
    void move_to(const std::string& address);

    /// The newest era that a response or another gateway named.
    std::uint64_t era() const { return this->newest_era; }
    /// Processes an era that was named, 0 if none was. Returns false if it is older than
    /// the newest one.
    bool on_era(std::uint64_t named);
    /// Sets the function that is called when the era has increased.
    void set_era_callback(era_callback on_changed)
    {
        this->era_changed = std::move(on_changed);
    }

    /// Reads the records from offset `from` on, and waits up to `wait` for the first.
    /// Throws `transport::log_truncated` if they have expired, or `state::error`.
    virtual boost::asio::awaitable<keyed_page>
    changes(store_topic topic, std::uint64_t from, state::milliseconds wait) = 0;
    /// Reads the newest record of each key. Throws `state::error`.
    virtual boost::asio::awaitable<keyed_page> newest(store_topic topic) = 0;
    /// Appends a record if the topic ends at `expected_end`, or unconditionally if it is
    /// not set. Throws `state::error`; after `connection_lost` or `timed_out` the record
    /// may have been appended, or may yet be.
    virtual boost::asio::awaitable<append_result>
    append(store_topic topic, std::string key, std::string value,
           std::optional<std::uint64_t> expected_end) = 0;

protected:
    explicit keyed_store(const std::string& address);

private:
    /// Ends the calls to the earlier store.
    virtual void set_address(const std::string& address) = 0;

    std::uint64_t store_id;
    std::uint64_t newest_era = 0;
    era_callback era_changed = [](std::uint64_t) {};
};

} // namespace pomelorouter::app
