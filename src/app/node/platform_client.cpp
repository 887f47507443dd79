#include "app/node/platform_client.hpp"

#include "protocol/platform_api.hpp"
#include "state/log.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <utility>

namespace pomelorouter::app
{

namespace asio = boost::asio;
using transport::http_call_options;
using transport::http_response;

namespace
{

constexpr state::milliseconds long_poll{1000};
constexpr state::milliseconds retry_delay{200};
constexpr state::milliseconds mailbox_full_delay{5};
constexpr state::milliseconds list_timeout{2000};
/// Maximum size of the list of instances.
constexpr std::size_t max_list_bytes = 4 * 1024 * 1024;

// GCC 12 destroys an aggregate twice if it is initialized with braces inside a coroutine,
// so these functions create the events.
control_event append_ended(append_callback done, const append_result& result)
{
    return control_task{[done = std::move(done), result] { done(result); }};
}

control_event instances_event(const std::string& body)
{
    return instances_listed{protocol::parse_instances(body)};
}

control_event page_event(const std::string& stream, transport::log_page page)
{
    return stream_page{stream, std::move(page)};
}

control_event truncated_event(const std::string& stream, std::uint64_t first)
{
    return stream_truncated{stream, first};
}

control_event unavailable_event(const std::string& stream)
{
    return stream_unavailable{stream};
}

} // namespace

platform_client::platform_client(asio::io_context& platform_loop,
                                 std::string platform_address,
                                 control_mailbox& control_events,
                                 state::counter_registry& counters)
    : loop(platform_loop),
      address(std::move(platform_address)),
      control(control_events),
      client(platform_loop.get_executor()),
      log(this->client, this->address),
      appends(counters.count("log_appends_total", "records appended to the log")),
      append_failures(counters.count("log_append_failures_total",
                                     "appends that failed or whose answer was lost")),
      read_failures(
          counters.count("log_read_failures_total", "reads of the log that failed")),
      list_failures(
          counters.count("list_failures_total", "reads of the instance list that failed"))
{
}

platform_client::~platform_client() = default;

void platform_client::append(std::string stream, std::string data, append_callback done)
{
    asio::co_spawn(this->loop,
                   this->append_one(std::move(stream), std::move(data), std::move(done)),
                   asio::detached);
}

void platform_client::follow(std::string stream, std::uint64_t from)
{
    asio::post(this->loop,
               [this, stream = std::move(stream), from]
               {
                   const auto [entry, is_new] = this->positions.try_emplace(stream);
                   entry->second.next = from;
                   ++entry->second.generation;
                   if (is_new)
                       asio::co_spawn(this->loop, this->follow_stream(stream),
                                      asio::detached);
               });
}

void platform_client::poll_instances(state::milliseconds period)
{
    asio::co_spawn(this->loop, this->poll_list(period), asio::detached);
}

asio::awaitable<void> platform_client::append_one(std::string stream, std::string data,
                                                  append_callback done)
{
    append_result result;
    try
    {
        result.offset = co_await this->log.append(stream, std::move(data));
        this->appends.add();
    }
    catch (const state::error& failure)
    {
        this->append_failures.add();
        result.failure = failure;
        state::log_event(state::log_level::warning, "append_failed")
            .field("stream", stream)
            .field("error", failure.what());
    }
    co_await this->deliver(append_ended(std::move(done), result));
}

asio::awaitable<void> platform_client::follow_stream(std::string stream)
{
    for (;;)
    {
        const bool succeeded = co_await this->read_once(stream, this->positions[stream]);
        if (!succeeded)
            co_await this->sleep(retry_delay);
    }
}

asio::awaitable<bool> platform_client::read_once(const std::string& stream,
                                                 stream_position position)
{
    const auto is_current = [&]
    { return this->positions[stream].generation == position.generation; };
    std::optional<control_event> event;
    bool succeeded = true;
    try
    {
        transport::log_page page =
            co_await this->log.read(stream, position.next, long_poll);
        if (!is_current())
            co_return true;
        this->positions[stream].next = page.next;
        event = page_event(stream, std::move(page));
    }
    catch (const transport::log_truncated& truncated)
    {
        if (!is_current())
            co_return true;
        this->positions[stream].next = truncated.first();
        event = truncated_event(stream, truncated.first());
    }
    catch (const state::error&)
    {
        this->read_failures.add();
        succeeded = false;
        event = unavailable_event(stream);
    }
    co_await this->deliver(std::move(*event));
    co_return succeeded;
}

asio::awaitable<void> platform_client::poll_list(state::milliseconds period)
{
    http_call_options options;
    options.progress_timeout = list_timeout;
    options.max_body_bytes = max_list_bytes;
    for (;;)
    {
        try
        {
            const http_response response = co_await this->client.fetch(
                this->address,
                transport::make_request(transport::verb::get, "/instances"), options);
            if (response.result() == transport::status::ok)
            {
                control_event listed = instances_event(response.body());
                co_await this->deliver(std::move(listed));
            }
            else
            {
                this->list_failures.add();
            }
        }
        catch (const state::error&)
        {
            this->list_failures.add();
        }
        co_await this->sleep(period);
    }
}

asio::awaitable<void> platform_client::deliver(control_event event)
{
    // Reading pauses while the mailbox is full, until the control thread has caught up. A
    // failed push does not move from the event. NOLINTNEXTLINE(bugprone-use-after-move)
    while (!this->control.try_push(std::move(event)))
        co_await this->sleep(mailbox_full_delay);
}

asio::awaitable<void> platform_client::sleep(state::milliseconds delay)
{
    asio::steady_timer timer(this->loop, delay);
    co_await timer.async_wait(asio::use_awaitable);
}

} // namespace pomelorouter::app
