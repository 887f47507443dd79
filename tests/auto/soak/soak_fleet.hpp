#pragma once

#include "../memory/gateway_child.hpp"
#include "../platform/gateway_fixture.hpp"

#include <boost/json/object.hpp>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace pomelorouter::test
{

/// What a request was and what became of it.
struct soak_request
{
    /// Name of the team whose key it carries; empty for an unknown key.
    std::string team;
    bool is_once = false;
    state::time_point sent{};
    /// Time of the first run at a backend server.
    state::time_point arrived{};
    int runs = 0;
    /// 0 if there was no complete response.
    unsigned status = 0;
};

/// Three gateway processes in front of fake backend servers, which record what they run.
class soak_fleet
{
public:
    static constexpr std::size_t size = 3;

    soak_fleet();

    /// Starts a process at the addresses that it had before.
    void start(std::size_t instance);
    bool is_started(std::size_t instance) const
    {
        return this->processes[instance].has_value();
    }
    gateway_child& process(std::size_t instance) { return *this->processes[instance]; }
    /// Removes a process that has ended, or ends it.
    void remove(std::size_t instance) { this->processes[instance].reset(); }
    const std::string& listen(std::size_t instance) const
    {
        return this->addresses[instance];
    }

    /// Writes the next version of the configuration.
    void put_config(bool has_visitor);
    /// Writes the entry of a backend server that was started again.
    void put_entry(std::size_t backend, int born);
    /// Sends a request with the key and returns its status, 0 without a response.
    boost::asio::awaitable<unsigned> call(std::size_t instance, std::string path,
                                          std::string key);
    boost::asio::awaitable<void> wait(state::milliseconds duration);

    gateway_fixture base;
    /// By the last part of the path.
    std::map<std::string, soak_request> requests;
    /// Requests that reached a backend server with a wrong team or with a key.
    int wrong_fields = 0;

private:
    raw_reply reply(const transport::http_request& request);

    std::vector<boost::json::object> settings;
    std::vector<std::string> addresses;
    std::vector<std::optional<gateway_child>> processes;
    int version = 0;
    std::size_t last_request = 0;
};

/// Key of the team, or an unknown key for an empty name.
std::string key_of(const std::string& team);

} // namespace pomelorouter::test
