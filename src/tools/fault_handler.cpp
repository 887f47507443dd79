#include "tools/fault_handler.hpp"

#include "protocol/engine_api.hpp"

#include <boost/asio/error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json/serialize.hpp>
#include <boost/system/system_error.hpp>

#include <algorithm>
#include <memory>
#include <utility>

namespace pomelorouter::tools
{

namespace asio = boost::asio;
using transport::http_exchange;
using transport::http_request;
using transport::http_response;
using transport::json_response;
using transport::status;
using transport::verb;

namespace
{

constexpr std::string_view control_prefix = "/control/";
// Interval at which a held request checks whether it may continue.
constexpr state::milliseconds hold_check_interval{5};

[[noreturn]] void reset_connection()
{
    throw boost::system::system_error(asio::error::connection_reset);
}

/// Returns the first two segments of a path. Counting by these keeps ids in paths from
/// growing the table.
std::string path_prefix(std::string_view path)
{
    const std::size_t second = path.find('/', 1);
    if (second == std::string_view::npos)
        return std::string(path);
    return std::string(path.substr(0, path.find('/', second + 1)));
}

} // namespace

/// Forwards a response to the outer exchange and applies the faults that are set.
class fault_handler::faulty_exchange : public http_exchange
{
public:
    faulty_exchange(fault_handler& owner, http_exchange& outer_exchange, bool lose)
        : handler(owner),
          outer(outer_exchange),
          lose_response(lose),
          response_delay(owner.inner.faults.response_delay)
    {
    }

    const http_request& request() const override { return this->outer.request(); }
    std::uint64_t connection() const override { return this->outer.connection(); }
    bool has_responded() const override { return this->outer.has_responded(); }
    bool client_has_closed() override { return this->outer.client_has_closed(); }

    asio::awaitable<void> respond(http_response response) override
    {
        co_await this->apply_response_faults();
        co_await this->outer.respond(std::move(response));
    }

    asio::awaitable<void> begin_stream(http_response head) override
    {
        this->pieces_until_break = this->handler.inner.faults.consume_break();
        co_await this->apply_response_faults();
        co_await this->outer.begin_stream(std::move(head));
    }

    asio::awaitable<void> write_piece(std::string piece) override
    {
        co_await this->handler.wait_while_held(this->outer);
        if (this->pieces_until_break == 0)
            reset_connection();
        if (this->pieces_until_break > 0)
            --this->pieces_until_break;
        co_await this->outer.write_piece(std::move(piece));
    }

    asio::awaitable<void> end_stream() override
    {
        co_await this->handler.wait_while_held(this->outer);
        if (this->pieces_until_break == 0)
            reset_connection();
        co_await this->outer.end_stream();
    }

private:
    asio::awaitable<void> apply_response_faults()
    {
        co_await this->handler.wait_while_held(this->outer);
        if (this->lose_response)
            reset_connection();
        co_await this->handler.pause(this->response_delay);
    }

    fault_handler& handler;
    http_exchange& outer;
    bool lose_response;
    state::milliseconds response_delay;
    std::int64_t pieces_until_break = -1;
};

fault_handler::fault_handler(asio::io_context& event_loop, stand_in_handler& handler)
    : loop(event_loop), inner(handler)
{
}

asio::awaitable<void> fault_handler::handle(http_exchange& exchange)
{
    const std::string path(transport::target_path(exchange.request().target()));
    this->newest_connection = std::max(this->newest_connection, exchange.connection());
    if (path.starts_with(control_prefix))
    {
        co_await this->control(exchange, path);
        co_return;
    }
    ++this->requests[path_prefix(path)];
    co_await this->wait_while_held(exchange);
    co_await this->pause(this->inner.faults.request_delay);
    if (this->inner.faults.current_outage == outage::refused)
        reset_connection();
    if (this->inner.faults.current_outage == outage::unavailable)
    {
        co_await exchange.respond(json_response(
            status::service_unavailable, protocol::format_backend_error("unavailable")));
        co_return;
    }
    const bool lose = this->inner.faults.consume_lost_response(path);
    faulty_exchange faulty(*this, exchange, lose);
    co_await this->inner.handle(faulty);
}

asio::awaitable<void> fault_handler::control(http_exchange& exchange, std::string path)
{
    if (path == "/control/faults" && exchange.request().method() == verb::post)
    {
        this->change_faults(exchange.request().body());
        co_await exchange.respond(json_response(status::ok, "{}"));
    }
    else if (path == "/control/stats")
    {
        co_await exchange.respond(json_response(status::ok, this->stats()));
    }
    else
    {
        co_await this->inner.handle(exchange);
    }
}

asio::awaitable<void> fault_handler::wait_while_held(http_exchange& exchange)
{
    while (this->inner.faults.frozen ||
           (exchange.connection() > 0 &&
            exchange.connection() <= this->inner.faults.last_silent_connection))
    {
        co_await this->pause(hold_check_interval);
        if (exchange.client_has_closed())
            reset_connection();
    }
}

asio::awaitable<void> fault_handler::pause(state::milliseconds duration)
{
    if (duration.count() == 0)
        co_return;
    asio::steady_timer timer(this->loop, duration);
    co_await timer.async_wait(asio::use_awaitable);
}

void fault_handler::change_faults(const std::string& body)
{
    apply_faults(this->inner.faults, body, this->newest_connection);
    ++this->fault_changes;
    const fault_state& faults = this->inner.faults;
    if (faults.current_outage == outage::none || faults.outage_duration.count() == 0)
        return;
    if (faults.current_outage == outage::refused && this->close_port)
        this->close_port(faults.outage_duration);
    this->end_outage_after(faults.outage_duration);
}

void fault_handler::end_outage_after(state::milliseconds duration)
{
    const auto timer = std::make_shared<asio::steady_timer>(this->loop, duration);
    timer->async_wait(
        [this, timer, change = this->fault_changes](boost::system::error_code failure)
        {
            // If the faults have changed since, the later change determines the outage.
            if (!failure && change == this->fault_changes)
                this->inner.faults.current_outage = outage::none;
        });
}

std::string fault_handler::stats() const
{
    boost::json::object result;
    boost::json::object counts;
    for (const auto& [path, count] : this->requests)
        counts[path] = count;
    result["requests"] = std::move(counts);
    this->inner.add_stats(result);
    return boost::json::serialize(result);
}

} // namespace pomelorouter::tools
