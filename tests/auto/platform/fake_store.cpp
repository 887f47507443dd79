#include "fake_store.hpp"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <boost/system/system_error.hpp>

#include <charconv>

namespace pomelorouter::test
{

namespace
{

using transport::status;

std::string big_endian(std::uint64_t value, int bytes)
{
    std::string result;
    for (int i = bytes - 1; i >= 0; --i)
        result += static_cast<char>((value >> (8 * i)) & 0xffU);
    return result;
}

std::string base64(const std::string& text)
{
    static constexpr std::string_view digits =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string result;
    for (std::size_t i = 0; i < text.size(); i += 3)
    {
        std::uint32_t bits = 0;
        for (std::size_t j = 0; j < 3; ++j)
        {
            bits <<= 8U;
            if (i + j < text.size())
                bits |= static_cast<unsigned char>(text[i + j]);
        }
        for (std::size_t j = 0; j < 4; ++j)
        {
            const bool used = i + j <= text.size();
            result += used ? digits[(bits >> (18U - 6U * j)) & 63U] : '=';
        }
    }
    return result;
}

std::uint64_t number(std::string_view text)
{
    std::uint64_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

std::string topic_of(const transport::http_request& request)
{
    return std::string(transport::target_query(request.target(), "Topic"));
}

transport::http_response offsets(status code, std::uint64_t first, std::uint64_t end)
{
    return transport::json_response(
        code, boost::json::serialize(boost::json::object{
                  {"Offset", first}, {"EndOffset", end}, {"FirstOffset", first}}));
}

} // namespace

boost::asio::awaitable<void> fake_store::handle(transport::http_exchange& exchange)
{
    ++this->calls;
    ++this->topic_calls[std::string(
        transport::target_query(exchange.request().target(), "Topic"))];
    if (this->is_silent || this->delay.count() > 0)
    {
        boost::asio::steady_timer timer(this->loop, this->is_silent ? state::seconds(10)
                                                                    : this->delay);
        co_await timer.async_wait(boost::asio::use_awaitable);
    }
    const std::string path(transport::target_path(exchange.request().target()));
    transport::http_response response;
    if (this->is_down)
        response = transport::text_response(status::service_unavailable, "down");
    else if (this->is_trickling && path != "/pomelorouter/log-append")
    {
        co_await this->trickle(exchange);
        co_return;
    }
    else if (path == "/pomelorouter/log-read")
    {
        co_await this->read(exchange);
        co_return;
    }
    else if (path == "/pomelorouter/log-newest")
        response = this->newest(topic_of(exchange.request()));
    else if (path == "/pomelorouter/log-append")
        response = this->append(exchange.request());
    else
        response = transport::text_response(status::not_found, path);
    if (this->drops_append_responses && path == "/pomelorouter/log-append")
    {
        throw boost::system::system_error(
            make_error_code(boost::system::errc::connection_reset));
    }
    co_await this->respond(exchange, std::move(response));
}

boost::asio::awaitable<void> fake_store::respond(transport::http_exchange& exchange,
                                                 transport::http_response response) const
{
    if (this->era > 0)
        response.set("Store-Era", std::to_string(this->era));
    co_await exchange.respond(std::move(response));
}

boost::asio::awaitable<void> fake_store::trickle(transport::http_exchange& exchange)
{
    co_await exchange.begin_stream(transport::text_response(status::ok, ""));
    while (!exchange.client_has_closed())
    {
        co_await exchange.write_piece("x");
        boost::asio::steady_timer timer(this->loop, state::milliseconds(200));
        co_await timer.async_wait(boost::asio::use_awaitable);
    }
}

boost::asio::awaitable<void> fake_store::read(transport::http_exchange& exchange)
{
    const auto& request = exchange.request();
    const std::string name = topic_of(request);
    const std::uint64_t from =
        number(transport::target_query(request.target(), "Source"));
    const auto limit =
        std::chrono::steady_clock::now() +
        state::milliseconds(number(transport::target_query(request.target(), "WaitMs")));
    const std::uint64_t first_era = this->era;
    while (this->end(name) <= from && this->era == first_era &&
           std::chrono::steady_clock::now() < limit)
    {
        boost::asio::steady_timer timer(this->loop, state::milliseconds(2));
        co_await timer.async_wait(boost::asio::use_awaitable);
    }
    const topic_records& topic = this->topics[name];
    const std::uint64_t end = this->end(name);
    transport::http_response response;
    if (from < topic.first || from > end)
        response = offsets(status::gone, topic.first, end);
    else
    {
        std::string body = big_endian(end, 8) + big_endian(topic.first, 8);
        for (std::uint64_t offset = from; offset < end; ++offset)
        {
            const record& item = topic.records[offset - topic.first];
            body += big_endian(1 + item.key.size() + item.value.size(), 4);
            body += static_cast<char>(item.key.size());
            body += item.key + item.value;
        }
        response = transport::text_response(status::ok, std::move(body));
    }
    co_await this->respond(exchange, std::move(response));
}

transport::http_response fake_store::newest(const std::string& name)
{
    const topic_records& topic = this->topics[name];
    boost::json::array items;
    for (const auto& [key, value] : topic.newest)
    {
        items.push_back(boost::json::object{
            {"Key", key}, {"Value", base64(value.second)}, {"Offset", value.first}});
    }
    return transport::json_response(
        status::ok, boost::json::serialize(boost::json::object{
                        {"items", std::move(items)},
                        {"HasMore", false},
                        {"EndOffset", topic.first + topic.records.size()}}));
}

transport::http_response fake_store::append(const transport::http_request& request)
{
    const std::string name = topic_of(request);
    const std::uint64_t end = this->end(name);
    const std::string_view expected = transport::target_query(request.target(), "At");
    if (!expected.empty() && number(expected) != end)
        return offsets(status::precondition_failed, end, end);
    const std::string& body = request.body();
    const auto key_size = static_cast<unsigned char>(body.at(4));
    this->put(name, body.substr(5, key_size), body.substr(5 + key_size));
    return offsets(status::ok, end, end + 1);
}

void fake_store::put(const std::string& name, const std::string& key,
                     const std::string& value)
{
    topic_records& topic = this->topics[name];
    const std::uint64_t offset = topic.first + topic.records.size();
    topic.records.push_back({key, value});
    this->appended[name].push_back(value);
    if (value.empty())
        topic.newest.erase(key);
    else
        topic.newest[key] = {offset, value};
}

void fake_store::copy(const std::string& topic, const fake_store& other)
{
    this->topics[topic] = other.topics.at(topic);
}

void fake_store::return_to_copy()
{
    this->topics = this->saved_topics;
    ++this->era;
}

void fake_store::compact(const std::string& name)
{
    topic_records& topic = this->topics[name];
    topic.first += topic.records.size();
    topic.records.clear();
}

std::uint64_t fake_store::end(const std::string& name) const
{
    const auto found = this->topics.find(name);
    return found == this->topics.end()
               ? 0
               : found->second.first + found->second.records.size();
}

} // namespace pomelorouter::test
