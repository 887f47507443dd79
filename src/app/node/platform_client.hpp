#pragma once

#include "app/node/control_loop.hpp"
#include "state/counters.hpp"
#include "state/error.hpp"
#include "transport/http_client.hpp"
#include "transport/http_log_service.hpp"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace pomelorouter::app
{

/// Result of an append: the offset of the record, or the failure.
struct append_result
{
    std::optional<std::uint64_t> offset;
    std::optional<state::error> failure;
};

/// Receives the result of an append. Called on the control thread.
using append_callback = std::function<void(const append_result&)>;

/// Interface for the control thread's requests to the log of the platform.
class platform_port
{
public:
    virtual ~platform_port() = default;

    virtual void append(std::string stream, std::string data, append_callback done) = 0;
    /// Reads a stream continuously, starting at offset `from`; a second call for the same
    /// stream continues at the new offset.
    virtual void follow(std::string stream, std::uint64_t from) = 0;
};

/// Client of the log service and the instance list. Runs on the platform thread.
class platform_client : public platform_port
{
public:
    platform_client(boost::asio::io_context& loop, std::string address,
                    control_mailbox& control, state::counter_registry& counters);
    ~platform_client() override;
    platform_client(const platform_client&) = delete;
    platform_client& operator=(const platform_client&) = delete;

    void append(std::string stream, std::string data, append_callback done) override;
    void follow(std::string stream, std::uint64_t from) override;
    /// Starts reading the instance list periodically.
    void poll_instances(state::milliseconds period);

private:
    struct stream_position
    {
        std::uint64_t next = 0;
        /// Incremented by each call of `follow`, so that the result of a read in progress
        /// is discarded.
        std::uint64_t generation = 0;
    };

    boost::asio::awaitable<void> append_one(std::string stream, std::string data,
                                            append_callback done);
    boost::asio::awaitable<void> follow_stream(std::string stream);
    boost::asio::awaitable<bool> read_once(const std::string& stream,
                                           stream_position position);
    boost::asio::awaitable<void> poll_list(state::milliseconds period);
    boost::asio::awaitable<void> deliver(control_event event);
    boost::asio::awaitable<void> sleep(state::milliseconds delay);

    boost::asio::io_context& loop;
    std::string address;
    control_mailbox& control;
    transport::http_client client;
    transport::http_log_service log;
    std::map<std::string, stream_position> positions;
    state::counter& appends;
    state::counter& append_failures;
    state::counter& read_failures;
    state::counter& list_failures;
};

} // namespace pomelorouter::app
