#include "address_book.hpp"

#include "state/error.hpp"
#include "state/json_reader.hpp"

#include <utility>

namespace pomelorouter::scenario
{

namespace asio = boost::asio;

namespace
{

constexpr state::milliseconds query_timeout{1000};

struct parsed_addresses
{
    std::vector<std::string> addresses;
    std::int64_t ttl_s = 0;
};

parsed_addresses parse_addresses(const std::string& body)
{
    constexpr std::int64_t max_ttl_s = 86400;
    const auto value = state::parse_json(body, "addresses");
    state::json_reader reader(value, "addresses");
    parsed_addresses result;
    result.ttl_s = reader.get_int("ttl_s", 0, max_ttl_s);
    for (const auto& item : reader.get_array("addresses"))
    {
        state::json_reader entry(item, "addresses");
        result.addresses.push_back(entry.get_string("address"));
    }
    return result;
}

} // namespace

void address_book::set_configured(std::vector<std::string> addresses)
{
    this->configured = std::move(addresses);
}

asio::awaitable<std::string> address_book::next()
{
    if (std::chrono::steady_clock::now() >= this->valid_until && !this->refreshing)
    {
        this->refreshing = true;
        std::vector<std::string> candidates = this->configured;
        candidates.insert(candidates.end(), this->current.begin(), this->current.end());
        for (const std::string& candidate : candidates)
        {
            if (co_await this->query(candidate))
                break;
        }
        this->refreshing = false;
    }
    const auto& list = this->current.empty() ? this->configured : this->current;
    if (list.empty())
        co_return std::string();
    co_return list[this->next_index++ % list.size()];
}

asio::awaitable<bool> address_book::query(std::string address)
{
    transport::http_call_options options;
    options.progress_timeout = query_timeout;
    options.max_body_bytes = 64 * 1024 * 1024;
    try
    {
        const auto response = co_await this->http.fetch(
            address, transport::make_request(transport::verb::get, "/v1/addresses"),
            options);
        if (response.result() != transport::status::ok)
            co_return false;
        parsed_addresses parsed = parse_addresses(response.body());
        if (parsed.addresses.empty())
            co_return false;
        this->current = std::move(parsed.addresses);
        this->valid_until =
            std::chrono::steady_clock::now() + state::seconds(parsed.ttl_s);
        co_return true;
    }
    catch (const state::error&)
    {
        this->http.close_idle_connections(address);
        co_return false;
    }
}

} // namespace pomelorouter::scenario
