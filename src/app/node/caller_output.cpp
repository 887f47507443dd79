#include "app/node/caller_output.hpp"

#include "app/node/refuse.hpp"

#include <algorithm>
#include <utility>

namespace pomelorouter::app
{

namespace asio = boost::asio;

caller_output::caller_output(transport::http_exchange& caller,
                             const completion_state& request_ref)
    : exchange(caller), request(request_ref)
{
}

void caller_output::add(const std::string& text)
{
    if (this->request.completion.stream)
        this->pending +=
            protocol::format_completion_event(this->request.identity, text, {});
    else
        this->pending += text;
}

asio::awaitable<void> caller_output::flush()
{
    if (!this->request.completion.stream || this->pending.empty())
        co_return;
    co_await this->begin();
    co_await this->exchange.write_piece(std::exchange(this->pending, {}));
}

asio::awaitable<void> caller_output::finish()
{
    if (this->request.completion.stream)
    {
        co_await this->begin();
        co_await this->exchange.write_piece(
            protocol::format_completion_event(this->request.identity, {},
                                              this->request.finish_reason) +
            "data: [DONE]\n\n");
        co_await this->exchange.end_stream();
        co_return;
    }
    const std::string& prompt = this->request.completion.prompt;
    const auto prompt_words =
        static_cast<std::int64_t>(std::count(prompt.begin(), prompt.end(), ' ') + 1);
    co_await this->exchange.respond(transport::json_response(
        transport::status::ok,
        protocol::format_completion(this->request.identity, this->pending, prompt_words,
                                    this->request.delivered,
                                    this->request.finish_reason)));
}

asio::awaitable<void> caller_output::fail(const protocol::refusal& refusal)
{
    if (!this->exchange.has_responded())
    {
        co_await refuse(this->exchange, refusal);
        co_return;
    }
    co_await this->exchange.write_piece("event: error\ndata: " + refusal.to_json() +
                                        "\n\n");
    co_await this->exchange.end_stream();
}

asio::awaitable<void> caller_output::begin()
{
    if (this->exchange.has_responded())
        co_return;
    transport::http_response head(transport::status::ok, 11);
    head.set(transport::field::content_type, "text/event-stream");
    head.set(transport::field::cache_control, "no-cache");
    co_await this->exchange.begin_stream(std::move(head));
}

} // namespace pomelorouter::app
