#include "workload.hpp"

#include "protocol/sse_parser.hpp"
#include "state/error.hpp"
#include "state/json_reader.hpp"
#include "tools/engine_stand_in/token_text.hpp"
#include "transport/http_error.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <utility>

namespace pomelorouter::scenario
{

namespace asio = boost::asio;
using transport::http_request;
using transport::http_response;
using transport::status;
using transport::verb;

namespace
{

// Number of addresses that a caller tries if connections fail.
constexpr int max_addresses = 6;
constexpr state::milliseconds max_retry_delay{1000};
constexpr state::milliseconds connect_timeout{1000};

/// Sets the result from the body and the headers of a refusal.
void read_refusal(request_result& result, std::string_view body, bool retry_header)
{
    result.outcome = request_outcome::refused;
    result.has_retry_after = retry_header;
    result.detail = std::string(body.substr(0, 300));
    try
    {
        const auto value = state::parse_json(body, "refusal");
        state::json_reader outer(value, "refusal");
        state::json_reader inner(outer.require("error"), "refusal", "/error");
        result.run = inner.get_string("run", "");
    }
    catch (const state::error&)
    {
        result.run = "";
    }
}

/// Returns the text of the first choice of a completion body or event.
std::string choice_text(const std::string& body)
{
    const auto value = state::parse_json(body, "completion");
    state::json_reader reader(value, "completion");
    const auto& choices = reader.get_array("choices");
    if (choices.empty())
        return {};
    state::json_reader choice(choices.front(), "completion", "/choices/0");
    return choice.get_string("text", "");
}

/// Sets the outcome by comparing the received text with the text that the engine
/// generates.
void evaluate_text(request_result& result, const std::string& text, bool complete,
                   const std::string& expected)
{
    if (complete && text == expected)
    {
        result.outcome = request_outcome::answered;
        return;
    }
    // An interrupted stream may contain only a prefix of the expected text.
    result.outcome = !complete && expected.starts_with(text) ? request_outcome::lost
                                                             : request_outcome::wrong;
    result.detail = "received '" + text.substr(0, 200) + "'";
}

/// Collects the text of a streamed response.
class stream_reader
{
public:
    void feed(const std::string& piece)
    {
        this->parser.feed(piece);
        while (auto data = this->parser.next())
        {
            if (*data == "[DONE]")
                this->complete = true;
            else if (data->starts_with("{\"error\""))
                this->error = *data;
            else
                this->text += choice_text(*data);
        }
    }

    protocol::sse_parser parser;
    std::string text;
    std::string error;
    bool complete = false;
};

} // namespace

workload::workload(asio::io_context& event_loop, transport::http_client& client,
                   address_book& node_addresses, const workload_options& work)
    : loop(event_loop),
      http(client),
      addresses(node_addresses),
      options(work),
      expected_results(work.count * work.copies)
{
}

void workload::start()
{
    asio::co_spawn(this->loop, this->send_at_rate(), asio::detached);
}

std::int64_t workload::count(request_outcome outcome) const
{
    return std::count_if(this->completed.begin(), this->completed.end(),
                         [&](const request_result& item)
                         { return item.outcome == outcome; });
}

asio::awaitable<void> workload::send_at_rate()
{
    const auto begin = std::chrono::steady_clock::now();
    asio::steady_timer timer(this->loop);
    for (std::int64_t number = 0; number < this->options.count; ++number)
    {
        if (this->options.rate > 0)
        {
            timer.expires_at(begin +
                             state::microseconds(1000000) * number / this->options.rate);
            co_await timer.async_wait(asio::use_awaitable);
        }
        for (std::int64_t copy = 0; copy < this->options.copies; ++copy)
            asio::co_spawn(this->loop, this->run_one(number), asio::detached);
    }
}

asio::awaitable<void> workload::run_one(std::int64_t number)
{
    const auto begin = std::chrono::steady_clock::now();
    request_result result;
    for (std::int64_t tries = 0; tries <= this->options.retries; ++tries)
    {
        result = co_await this->attempt(number);
        if (result.outcome == request_outcome::answered ||
            result.outcome == request_outcome::wrong)
            break;
        if (tries == this->options.retries)
            break;
        asio::steady_timer timer(this->loop, max_retry_delay);
        co_await timer.async_wait(asio::use_awaitable);
    }
    result.key = this->key(number);
    result.duration = std::chrono::duration_cast<state::milliseconds>(
        std::chrono::steady_clock::now() - begin);
    this->completed.push_back(std::move(result));
    ++this->finished;
}

asio::awaitable<request_result> workload::attempt(std::int64_t number)
{
    std::string expected;
    if (!this->options.orders)
    {
        for (std::int64_t index = 0; index < this->options.tokens; ++index)
            expected += tools::token_text(this->prompt(number), index);
    }
    request_result result;
    for (int tries = 0; tries < max_addresses; ++tries)
    {
        const std::string address = co_await this->choose_address();
        if (address.empty())
        {
            result.detail = "no node address is known";
            co_return result;
        }
        result = request_result();
        std::optional<transport::http_error> failed;
        try
        {
            result = co_await this->call(address, this->make_request(number), expected);
        }
        catch (const transport::http_error& failure)
        {
            failed = failure;
        }
        catch (const state::error& failure)
        {
            result.outcome = request_outcome::wrong;
            result.detail = failure.what();
        }
        if (!failed)
        {
            ++this->attempts;
            co_return result;
        }
        this->http.close_idle_connections(address);
        result.detail = address + ": " + failed->what();
        if (failed->request_may_have_been_sent())
        {
            ++this->attempts;
            co_return result;
        }
    }
    co_return result;
}

asio::awaitable<std::string> workload::choose_address()
{
    if (!this->options.address.empty())
        co_return this->options.address;
    co_return co_await this->addresses.next();
}

asio::awaitable<request_result> workload::call(std::string address, http_request request,
                                               std::string expected_text)
{
    transport::http_call_options call_options;
    call_options.connect_timeout = connect_timeout;
    call_options.progress_timeout = this->options.timeout;
    call_options.max_body_bytes = 64 * 1024 * 1024;
    call_options.fresh_connection = this->options.orders;
    const auto call = co_await this->http.open(address, request, call_options);
    request_result result;
    if (call->head().result() != status::ok)
    {
        const bool retry_header =
            call->head().find(transport::field::retry_after) != call->head().end();
        read_refusal(result, co_await call->read_all(), retry_header);
        co_return result;
    }
    if (this->options.orders)
    {
        result.detail = co_await call->read_all();
        result.outcome = request_outcome::answered;
        co_return result;
    }
    if (!this->options.streamed)
    {
        evaluate_text(result, choice_text(co_await call->read_all()), true,
                      expected_text);
        co_return result;
    }
    stream_reader reader;
    try
    {
        while (auto piece = co_await call->read_some())
            reader.feed(*piece);
    }
    catch (const transport::http_error& failure)
    {
        reader.complete = false;
    }
    evaluate_text(result, reader.text, reader.complete && reader.error.empty(),
                  expected_text);
    if (!reader.error.empty() && result.outcome != request_outcome::wrong)
        read_refusal(result, reader.error, false);
    co_return result;
}

http_request workload::make_request(std::int64_t number) const
{
    boost::json::object body;
    std::string target = "/v1/completions";
    if (this->options.orders)
    {
        target = "/services/" + this->options.service + "/orders";
        body["order"] = number;
    }
    else
    {
        body["model"] = this->options.model;
        body["prompt"] = this->prompt(number);
        body["max_tokens"] = this->options.tokens;
        body["stream"] = this->options.streamed;
    }
    http_request request =
        transport::make_request(verb::post, target, boost::json::serialize(body));
    if (this->options.orders)
        request.set("Idempotency-Key", this->key(number));
    if (this->options.deadline_ms > 0)
        request.set("X-Deadline-Ms", std::to_string(this->options.deadline_ms));
    return request;
}

std::string workload::prompt(std::int64_t number) const
{
    return "prompt " + std::to_string(number) + " of " + this->options.name + " seed " +
           std::to_string(this->options.seed);
}

std::string workload::key(std::int64_t number) const
{
    return this->options.name + "-" + std::to_string(this->options.seed) + "-" +
           std::to_string(number);
}

} // namespace pomelorouter::scenario
