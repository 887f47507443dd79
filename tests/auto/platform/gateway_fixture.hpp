#pragma once

#include "app/gateway/process/gateway.hpp"
#include "fake_store.hpp"
#include "platform/adapter.hpp"
#include "raw_backend.hpp"
#include "transport/http_client.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/json/array.hpp>

#include <future>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace pomelorouter::test
{

/// One gateway with the platform adapter, a fake store and fake backend servers, all on
/// one event loop.
class gateway_fixture
{
public:
    gateway_fixture();
    ~gateway_fixture();
    gateway_fixture(const gateway_fixture&) = delete;
    gateway_fixture& operator=(const gateway_fixture&) = delete;

    raw_backend& add_backend(const std::string& id, const std::string& service,
                             raw_backend::script script,
                             const std::vector<std::string>& models = {});
    /// Writes the entry of a backend server.
    void put_entry(const std::string& id, const std::string& service,
                   const std::string& address, const std::string& state = "ready",
                   const std::vector<std::string>& models = {}, int born = 1);
    /// Writes a configuration with the routes /stream/, /once/ and /again/. The model m1
    /// has `adapters` adapters.
    void put_config(int version, int timeout_ms = 5000, int max_attempts = 2,
                    int target_ms = 800, int adapters = 2);
    void start();
    /// Runs the loop until the condition holds. Fails after a time limit.
    void run_until(const std::function<bool()>& condition);
    void run_for(state::milliseconds duration);

    transport::http_request request(const std::string& path, const std::string& attempt,
                                    const std::string& model = "") const;
    /// Returns the response, or nothing if the connection ended before it was complete.
    std::optional<transport::http_response> fetch(const transport::http_request& request);
    /// The same with another gateway, which accepts callers at `address`.
    std::optional<transport::http_response>
    fetch_from(const std::string& address, const transport::http_request& request);
    /// Sends `bytes` on a new connection and returns all bytes received until it is
    /// closed or nothing has arrived for `quiet`.
    std::string exchange(const std::string& bytes, state::milliseconds quiet);

    /// Limits of requests in the configurations that `put_config()` writes.
    std::int64_t max_body_bytes = 65536;
    std::int64_t max_header_bytes = 4096;
    std::int64_t header_timeout_ms = 300;
    std::int64_t idle_timeout_ms = 2000;
    /// Size of the model large in these configurations.
    double large_model_mb = 200000.0;
    /// Members `Tenants` of the configurations that `put_config()` writes. Unless empty,
    /// there is also an anonymous route /open/ to the plain service.
    boost::json::array tenants;
    /// Software versions in the entries of backend servers, by id.
    std::map<std::string, std::string> software;
    state::counter_registry counters;
    boost::asio::io_context loop{1};
    fake_store store{this->loop};
    transport::http_server store_server;
    transport::http_client client{this->loop.get_executor()};
    std::vector<std::unique_ptr<raw_backend>> backends;
    std::unique_ptr<app::platform_adapter> adapter = platform::make_adapter();
    state::gateway_settings settings;
    std::string settings_path;
    std::unique_ptr<app::gateway> gateway;
};

} // namespace pomelorouter::test
