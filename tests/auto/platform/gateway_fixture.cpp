#include "gateway_fixture.hpp"

#include "state/error.hpp"
#include "state/json_reader.hpp"
#include "transport/address.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/connect.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <array>
#include <filesystem>
#include <fstream>
#include <stdexcept>
#include <unistd.h>

namespace pomelorouter::test
{

namespace asio = boost::asio;

namespace
{

constexpr const char* host = "shop.example";

boost::json::object route(const std::string& path, const std::string& type,
                          const std::string& service, int timeout_ms, int max_attempts,
                          int target_ms)
{
    return {{"Name", "r" + path},
            {"Host", host},
            {"PathPrefix", path},
            {"RouteType", type},
            {"TimeoutMs", timeout_ms},
            {"TargetLatencyMs", target_ms},
            {"TargetGapMs", 250},
            {"Priority", 1},
            {"Service", service},
            {"MaxAttempts", max_attempts},
            {"Resumable", type == "streaming"}};
}

boost::json::object hosted_model(const std::string& name, double size_mb, int adapters)
{
    return {{"Name", name},
            {"WeightSize", size_mb},
            {"LoadTimeS", 1.0},
            {"Adapters", adapters},
            {"AdapterSizeMb", 66.0}};
}

} // namespace

gateway_fixture::gateway_fixture()
    : store_server(this->loop, {}, this->store, this->counters)
{
    this->settings.node_id = "gateway-1";
    this->settings.zone = "zone-a";
    this->settings.listen = "127.0.0.1:0";
    this->settings.readiness_listen = "127.0.0.1:0";
    this->settings.directory_listen = "127.0.0.1:0";
    this->settings.control_listen = "127.0.0.1:0";
    this->settings.peer_listen = "127.0.0.1:0";
    this->settings.platform = this->store_server.listen("127.0.0.1:0");
    this->settings.retry_percent = 100;
    this->settings_path = (std::filesystem::temp_directory_path() /
                           ("gateway-" + std::to_string(::getpid()) + ".json"))
                              .string();
    std::ofstream(this->settings_path) << "{}";
}

gateway_fixture::~gateway_fixture()
{
    this->loop.stop();
    std::filesystem::remove(this->settings_path);
}

raw_backend& gateway_fixture::add_backend(const std::string& id,
                                          const std::string& service,
                                          raw_backend::script script,
                                          const std::vector<std::string>& models)
{
    this->backends.push_back(
        std::make_unique<raw_backend>(this->loop, std::move(script)));
    raw_backend& result = *this->backends.back();
    this->put_entry(id, service, result.address, "ready", models);
    return result;
}

void gateway_fixture::put_entry(const std::string& id, const std::string& service,
                                const std::string& address, const std::string& state,
                                const std::vector<std::string>& models, int born)
{
    boost::json::array held;
    for (const std::string& model : models)
    {
        held.push_back(boost::json::object{
            {"Name", model}, {"Version", 1}, {"Adapters", boost::json::array()}});
    }
    this->store.put(
        "keyed.servers", id,
        boost::json::serialize(boost::json::object{{"Service", service},
                                                   {"Address", address},
                                                   {"Zone", "zone-a"},
                                                   {"Version", this->software[id]},
                                                   {"Slots", 8},
                                                   {"State", state},
                                                   {"Sequence", 1},
                                                   {"born", born},
                                                   {"Models", held}}));
}

void gateway_fixture::put_config(int version, int timeout_ms, int max_attempts,
                                 int target_ms, int adapters)
{
    const boost::json::object engine{
        {"Slots", 64},
        {"KvCapacity", 100000},
        {"WeightSize", 230000.0},
        {"AdapterSlots", 8},
        {"LoadsPerS", 2.0},
        {"Models", boost::json::array{hosted_model("m1", 72700.0, adapters),
                                      hosted_model("large", this->large_model_mb, 0)}}};
    boost::json::object config{
        {"Version", version},
        {"Routes", boost::json::array{route("/stream/", "streaming", "models", timeout_ms,
                                            max_attempts, target_ms),
                                      route("/once/", "non_idempotent", "plain",
                                            timeout_ms, 1, target_ms),
                                      route("/again/", "idempotent", "plain", timeout_ms,
                                            max_attempts, target_ms)}},
        {"Services",
         boost::json::array{boost::json::object{{"Name", "models"}, {"Engine", engine}},
                            boost::json::object{{"Name", "plain"}}}},
        {"Limits", boost::json::object{{"MaxHeaderBytes", this->max_header_bytes},
                                       {"MaxBodyBytes", this->max_body_bytes},
                                       {"HeaderTimeoutMs", this->header_timeout_ms},
                                       {"IdleTimeoutMs", this->idle_timeout_ms}}}};
    if (!this->tenants.empty())
    {
        config["Tenants"] = this->tenants;
        boost::json::object open =
            route("/open/", "idempotent", "plain", timeout_ms, max_attempts, target_ms);
        open["Anonymous"] = true;
        config["Routes"].as_array().push_back(std::move(open));
    }
    this->store.put("keyed.op", "config", boost::json::serialize(config));
}

void gateway_fixture::start()
{
    this->gateway = std::make_unique<app::gateway>(
        this->loop, this->settings, this->settings_path, *this->adapter, this->counters);
    this->gateway->start();
    this->run_until([this] { return this->gateway->is_ready(); });
}

void gateway_fixture::run_until(const std::function<bool()>& condition)
{
    const auto limit = std::chrono::steady_clock::now() + state::seconds(60);
    while (!condition())
    {
        if (std::chrono::steady_clock::now() > limit)
            throw std::runtime_error("the condition was not met within 60 s");
        this->loop.restart();
        this->loop.run_one_for(state::milliseconds(5));
    }
}

void gateway_fixture::run_for(state::milliseconds duration)
{
    const auto end = std::chrono::steady_clock::now() + duration;
    this->run_until([end] { return std::chrono::steady_clock::now() >= end; });
}

transport::http_request gateway_fixture::request(const std::string& path,
                                                 const std::string& attempt,
                                                 const std::string& model) const
{
    transport::http_request result =
        transport::make_request(transport::verb::post, path, "body of " + attempt);
    result.set(transport::field::host, host);
    result.set("X-Pomelorouter-Attempt-Id", attempt);
    result.set("X-Pomelorouter-Deadline-Ms", "4000");
    if (!model.empty())
    {
        result.set("X-Pomelorouter-Model", model);
        result.set("X-Pomelorouter-Token-Count", "100,20");
        result.set("X-Pomelorouter-Prompt-Prefix", "5c1e07a2:60,e4402b7d:40");
    }
    return result;
}

std::optional<transport::http_response>
gateway_fixture::fetch(const transport::http_request& request)
{
    return this->fetch_from(this->gateway->own_settings().listen, request);
}

std::optional<transport::http_response>
gateway_fixture::fetch_from(const std::string& address,
                            const transport::http_request& request)
{
    std::optional<transport::http_response> result;
    bool done = false;
    const auto call = [&]() -> asio::awaitable<void>
    {
        transport::http_call_options options;
        options.progress_timeout = state::milliseconds(15000);
        options.max_body_bytes = 64 * 1024 * 1024;
        try
        {
            result = co_await this->client.fetch(address, request, options);
        }
        catch (const state::error&)
        {
            result.reset();
        }
        done = true;
    };
    asio::co_spawn(this->loop, call(), asio::detached);
    this->run_until([&done] { return done; });
    return result;
}

std::string gateway_fixture::exchange(const std::string& bytes, state::milliseconds quiet)
{
    asio::ip::tcp::socket socket(this->loop);
    socket.connect(transport::parse_address(this->gateway->own_settings().listen));
    std::string received;
    bool done = false;
    asio::steady_timer timer(this->loop);
    const auto call = [&]() -> asio::awaitable<void>
    {
        boost::system::error_code failure;
        co_await asio::async_write(socket, asio::buffer(bytes),
                                   asio::redirect_error(asio::use_awaitable, failure));
        std::array<char, 4096> buffer{};
        while (!failure)
        {
            timer.expires_after(quiet);
            timer.async_wait(
                [&socket](boost::system::error_code cancelled)
                {
                    if (!cancelled)
                        socket.cancel();
                });
            const std::size_t size = co_await socket.async_read_some(
                asio::buffer(buffer), asio::redirect_error(asio::use_awaitable, failure));
            received.append(buffer.data(), size);
        }
        timer.cancel();
        done = true;
    };
    asio::co_spawn(this->loop, call(), asio::detached);
    this->run_until([&done] { return done; });
    return received;
}

} // namespace pomelorouter::test
