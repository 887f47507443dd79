#include "soak_fleet.hpp"

#include "state/error.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <array>
#include <utility>

namespace pomelorouter::test
{

namespace asio = boost::asio;

namespace
{

constexpr std::size_t max_descriptors = 1024;
constexpr int tokens_per_s = 48'000;

struct backend_place
{
    const char* id;
    const char* service;
    bool has_model;

    std::vector<std::string> models() const
    {
        return this->has_model ? std::vector<std::string>{"m1"}
                               : std::vector<std::string>();
    }
};

constexpr std::array<backend_place, 4> places{{{"plain-1", "plain", false},
                                               {"plain-2", "plain", false},
                                               {"engine-1", "models", true},
                                               {"engine-2", "models", true}}};

boost::json::object team(const std::string& name)
{
    return {{"Name", name}, {"ApiKeys", boost::json::array{key_of(name)}}};
}

} // namespace

std::string key_of(const std::string& team)
{
    return "key-of-" + team;
}

soak_fleet::soak_fleet() : processes(size)
{
    this->base.max_body_bytes = 1024 * 1024;
    this->base.header_timeout_ms = 2000;
    for (const backend_place& place : places)
        this->base.add_backend(
            place.id, place.service,
            [this](const transport::http_request& request)
            { return this->reply(request); },
            place.models());
    boost::json::array seeds;
    for (std::size_t i = 0; i < size; ++i)
    {
        const std::string control = free_address();
        const std::string number = std::to_string(i + 1);
        this->addresses.push_back(free_address());
        this->settings.push_back({{"node_id", "gateway-" + number},
                                  {"zone", "zone-" + number},
                                  {"listen", this->addresses.back()},
                                  {"readiness_listen", free_address()},
                                  {"directory_listen", free_address()},
                                  {"control_listen", control},
                                  {"peer_listen", free_address()},
                                  {"platform", this->base.settings.platform}});
        seeds.emplace_back(control);
    }
    for (boost::json::object& item : this->settings)
        item["seeds"] = seeds;
    this->put_config(true);
    for (std::size_t i = 0; i < size; ++i)
        this->start(i);
}

void soak_fleet::start(std::size_t instance)
{
    this->processes[instance].emplace(this->settings[instance], max_descriptors);
}

void soak_fleet::put_config(bool has_visitor)
{
    boost::json::object limited = team("limited");
    limited["Unit"] = "token_stream";
    limited["RatePerS"] = tokens_per_s;
    limited["Burst"] = tokens_per_s;
    this->base.tenants = {team("steady"), std::move(limited)};
    if (has_visitor)
        this->base.tenants.emplace_back(team("visitor"));
    this->base.put_config(++this->version);
}

void soak_fleet::put_entry(std::size_t backend, int born)
{
    const backend_place& place = places.at(backend);
    this->base.put_entry(place.id, place.service,
                         this->base.backends.at(backend)->address, "ready",
                         place.models(), born);
}

asio::awaitable<unsigned> soak_fleet::call(std::size_t instance, std::string path,
                                           std::string key)
{
    const std::string id = "r" + std::to_string(++this->last_request);
    const std::string model = path == "/stream/" ? "m1" : "";
    transport::http_request request = this->base.request(path + id, id, model);
    request.set("Authorization", "Bearer " + key);
    if (model.empty())
        request.set("X-Pomelorouter-Token-Count", "2000,400");
    soak_request& record = this->requests[id];
    for (const char* name : {"steady", "limited", "visitor"})
        if (key == key_of(name))
            record.team = name;
    record.is_once = path == "/once/";
    record.sent = state::now();
    try
    {
        transport::http_call_options options;
        options.fresh_connection = true;
        const auto response =
            co_await this->base.client.fetch(this->addresses[instance], request, options);
        record.status = response.result_int();
    }
    catch (const state::error&)
    {
        record.status = 0;
    }
    co_return record.status;
}

asio::awaitable<void> soak_fleet::wait(state::milliseconds duration)
{
    asio::steady_timer timer(this->base.loop, duration);
    boost::system::error_code ignored;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

raw_reply soak_fleet::reply(const transport::http_request& request)
{
    const std::string target(request.target());
    const auto found = this->requests.find(target.substr(target.rfind('/') + 1));
    if (found == this->requests.end())
        return {{response_text("404 Not Found", "", "")}};
    soak_request& record = found->second;
    if (record.runs++ == 0)
        record.arrived = state::now();
    const bool is_right = request["X-Pomelorouter-Tenant"] == record.team &&
                          request.count("Authorization") == 0;
    this->wrong_fields += is_right ? 0 : 1;
    const std::string attempt(request["X-Pomelorouter-Attempt-Id"]);
    const bool is_stream = target.starts_with("/stream/");
    return {{response_text("200 OK", attempt, is_stream ? event(1) : "done")}};
}

} // namespace pomelorouter::test
