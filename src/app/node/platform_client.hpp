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

/// How an append ended: with an offset or with a failure.
struct append_result
{
    std::optional<std::uint64_t> offset;
    std::optional<state::error> failure;
};

/// Called on the control thread.
using append_callback = std::function<void(const append_result&)>;

/// Requests of the control thread to the platform.
class platform_port
{
public:
    virtual ~platform_port() = default;

    virtual void append(std::string stream, std::string data, append_callback done) = 0;
    /// Reads a stream from an offset on, for ever; a second call moves the position.
    virtual void follow(std::string stream, std::uint64_t from) = 0;
};

/// Talks to the log service and the instance list on the platform thread.
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
    /// Begins to read the instance list at intervals.
    void poll_instances(state::milliseconds period);

private:
    struct stream_position
    {
        std::uint64_t next = 0;
        /// Rises with each call of `follow`, so that a read under way is discarded.
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
