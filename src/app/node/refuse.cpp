#include "app/node/refuse.hpp"

namespace pomelorouter::app
{

namespace
{
constexpr std::int64_t ms_per_s = 1000;
} // namespace

boost::asio::awaitable<void> refuse(transport::http_exchange& exchange,
                                    const protocol::refusal& refusal)
{
    const auto code = static_cast<transport::status>(protocol::status_of(refusal.code));
    transport::http_response response = transport::json_response(code, refusal.to_json());
    if (refusal.retry_after)
    {
        // The header has whole seconds, rounded up; the body has the exact time.
        const std::int64_t after_s =
            (refusal.retry_after->count() + ms_per_s - 1) / ms_per_s;
        response.set(transport::field::retry_after, std::to_string(after_s));
    }
    co_await exchange.respond(std::move(response));
}

} // namespace pomelorouter::app
