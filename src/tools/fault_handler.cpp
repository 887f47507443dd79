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
// How often a request that is held looks whether it may go on.
constexpr state::milliseconds gate_period{5};

[[noreturn]] void cut_connection()
{
    throw boost::system::system_error(asio::error::connection_reset);
}

/// The first two segments of a path, so that ids in paths do not make the table grow.
std::string path_group(std::string_view path)
{
    const std::size_t second = path.find('/', 1);
    if (second == std::string_view::npos)
        return std::string(path);
    return std::string(path.substr(0, path.find('/', second + 1)));
}

} // namespace

/// Passes a response on unless a fault says otherwise.
class fault_handler::faulty_exchange : public http_exchange
{
public:
    faulty_exchange(fault_handler& owner, http_exchange& outer_exchange, bool lose)
        : handler(owner), outer(outer_exchange), lost(lose), late(owner.inner.faults.late)
    {
    }

    const http_request& request() const override { return this->outer.request(); }
    std::uint64_t connection() const override { return this->outer.connection(); }
    bool has_responded() const override { return this->outer.has_responded(); }
    bool client_has_closed() override { return this->outer.client_has_closed(); }

    asio::awaitable<void> respond(http_response response) override
    {
        co_await this->before_output();
        co_await this->outer.respond(std::move(response));
    }

    asio::awaitable<void> begin_stream(http_response head) override
    {
        this->pieces_left = this->handler.inner.faults.take_break();
        co_await this->before_output();
        co_await this->outer.begin_stream(std::move(head));
    }

    asio::awaitable<void> write_piece(std::string piece) override
    {
        co_await this->handler.pass_gate(this->outer);
        if (this->pieces_left == 0)
            cut_connection();
        if (this->pieces_left > 0)
            --this->pieces_left;
        co_await this->outer.write_piece(std::move(piece));
    }

    asio::awaitable<void> end_stream() override
    {
        co_await this->handler.pass_gate(this->outer);
        if (this->pieces_left == 0)
            cut_connection();
        co_await this->outer.end_stream();
    }

private:
    asio::awaitable<void> before_output()
    {
        co_await this->handler.pass_gate(this->outer);
        if (this->lost)
            cut_connection();
        co_await this->handler.pause(this->late);
    }

    fault_handler& handler;
    http_exchange& outer;
    bool lost;
    state::milliseconds late;
    std::int64_t pieces_left = -1;
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
    ++this->requests[path_group(path)];
    co_await this->pass_gate(exchange);
    co_await this->pause(this->inner.faults.delay);
    if (this->inner.faults.down == outage::refused)
        cut_connection();
    if (this->inner.faults.down == outage::unavailable)
    {
        co_await exchange.respond(json_response(
            status::service_unavailable, protocol::format_backend_error("unavailable")));
        co_return;
    }
    const bool lose = this->inner.faults.take_lost_answer(path);
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

asio::awaitable<void> fault_handler::pass_gate(http_exchange& exchange)
{
    while (this->inner.faults.frozen ||
           (exchange.connection() > 0 &&
            exchange.connection() <= this->inner.faults.silent_up_to))
    {
        co_await this->pause(gate_period);
        if (exchange.client_has_closed())
            cut_connection();
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
    ++this->outages;
    const fault_state& faults = this->inner.faults;
    if (faults.down == outage::none || faults.down_for.count() == 0)
        return;
    if (faults.down == outage::refused && this->close_port)
        this->close_port(faults.down_for);
    this->end_outage_after(faults.down_for);
}

void fault_handler::end_outage_after(state::milliseconds duration)
{
    const auto timer = std::make_shared<asio::steady_timer>(this->loop, duration);
    timer->async_wait(
        [this, timer, change = this->outages](boost::system::error_code failure)
        {
            // A later change of the faults decides on its own about the outage.
            if (!failure && change == this->outages)
                this->inner.faults.down = outage::none;
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
