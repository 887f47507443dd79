#include "app/gateway/peers/stream_origin_exchange.hpp"

#include "state/error.hpp"
#include "state/log.hpp"
#include "transport/async_event.hpp"
#include "transport/background_task.hpp"
#include "transport/http_error.hpp"

#include <algorithm>
#include <map>
#include <utility>

namespace pomelorouter::app
{

namespace asio = boost::asio;
using state::milliseconds;
using state::now;

namespace
{

/// Gateways that keep a copy of each origin.
constexpr std::size_t copies = 3;
/// Gateways that are asked. More than the copies, since those that sent and those that
/// ask may know different gateways.
constexpr std::size_t asked_gateways = 6;
/// A caller waits for the answers.
constexpr milliseconds answer_timeout{300};
/// Clients can invent ids without end, and each inquiry is several requests.
constexpr std::size_t max_open_inquiries = 64;
/// Longest time for which the versions of a service are remembered.
constexpr state::seconds version_memory{300};

} // namespace

struct stream_origin_exchange::inquiry
{
    explicit inquiry(const asio::any_io_executor& executor) : done(executor) {}

    std::optional<std::string> software;
    std::size_t open = 0;
    std::size_t answers = 0;
    transport::async_event done;
};

stream_origin_exchange::stream_origin_exchange(gateway_state& gateway,
                                               transport::http_client& http_client,
                                               peer_gossip& gateway_peers,
                                               state::counter_registry& counters)
    : shared(gateway),
      client(http_client),
      peers(gateway_peers),
      asked(counters.count("stream_origins_asked_total",
                           "resumed streams whose origin other gateways were asked for")),
      unknown(counters.count("stream_origins_unknown_total",
                             "resumed streams whose origin was not found"))
{
}

std::vector<std::string> stream_origin_exchange::other_nodes() const
{
    std::vector<std::string> result;
    for (const protocol::gateway_member& member : this->peers.members().known())
    {
        if (this->peers.members().is_alive(now(), member.node))
            result.push_back(member.node);
    }
    return result;
}

void stream_origin_exchange::on_begun(const std::string& attempt,
                                      const std::string& software)
{
    if (attempt.empty() || attempt.size() > protocol::max_origin_text)
        return;
    this->origins.add(now(), attempt, software);
    this->pending.push_back({attempt, software});
}

void stream_origin_exchange::on_notice(const std::vector<protocol::stream_origin>& notice)
{
    for (const protocol::stream_origin& origin : notice)
        this->origins.add(now(), origin.attempt, origin.software);
}

void stream_origin_exchange::tick()
{
    this->origins.forget_old(now());
    this->update_versions();
    this->versions.forget(now() - version_memory);
    if (this->pending.empty())
        return;
    const std::vector<std::string> nodes = this->other_nodes();
    std::map<std::string, std::vector<protocol::stream_origin>> by_node;
    for (protocol::stream_origin& origin : std::exchange(this->pending, {}))
    {
        for (const std::string& node :
             coordination::origin_keepers(origin.attempt, nodes, copies))
            by_node[node].push_back(origin);
    }
    for (const auto& [node, origins_of_node] : by_node)
        this->peers.send_origins(node, origins_of_node);
}

void stream_origin_exchange::update_versions()
{
    for (const auto& [id, backend] : this->shared.directory.all())
    {
        if (!backend->entry.models.empty())
            this->versions.on_seen(now(), backend->entry.service,
                                   backend->entry.software);
    }
}

asio::awaitable<std::optional<std::string>>
stream_origin_exchange::find(std::string attempt, std::string service, milliseconds age)
{
    this->update_versions();
    if (attempt.empty())
    {
        // Clients that do not name the attempt know nothing of versions.
        co_return this->versions.only_seen(now(), service, age);
    }
    const auto target = std::make_shared<inquiry>(this->shared.executor);
    target->software = this->origins.find(attempt);
    const std::vector<std::string> nodes = this->other_nodes();
    if (!target->software && attempt.size() <= protocol::max_origin_text &&
        this->open_inquiries < max_open_inquiries)
    {
        this->asked.add();
        ++this->open_inquiries;
        for (const std::string& node :
             coordination::origin_keepers(attempt, nodes, asked_gateways))
        {
            const protocol::gateway_member* const member =
                this->peers.members().find(node);
            if (member == nullptr)
                continue;
            ++target->open;
            transport::spawn_task(this->shared.executor, "stream_origin",
                                  this->ask(member->control, attempt, target));
        }
        const state::time_point limit = now() + answer_timeout;
        while (!target->software && target->open > 0 && now() < limit)
        {
            co_await target->done.wait(std::chrono::ceil<milliseconds>(limit - now()));
        }
        --this->open_inquiries;
        if (target->software)
            this->origins.add(now(), attempt, *target->software);
    }
    // A gateway that reaches no other one may not know of the newest versions.
    if (!target->software && (target->answers > 0 || nodes.empty()))
        target->software = this->versions.only_version(now(), service, age);
    if (!target->software)
        this->unknown.add();
    co_return target->software;
}

asio::awaitable<void> stream_origin_exchange::ask(std::string address,
                                                  std::string attempt,
                                                  std::shared_ptr<inquiry> target)
{
    transport::http_call_options options;
    options.connect_timeout = answer_timeout;
    options.progress_timeout = answer_timeout;
    options.total_timeout = answer_timeout;
    std::vector<protocol::stream_origin> wanted(1);
    wanted.front().attempt = attempt;
    const std::string question = protocol::encode_origin_notice(wanted);
    try
    {
        const transport::http_response response = co_await this->client.fetch(
            address,
            transport::make_request(transport::verb::post, "/gateway/stream-origin",
                                    question),
            options);
        if (response.result() == transport::status::ok)
        {
            ++target->answers;
            for (protocol::stream_origin& origin :
                 protocol::decode_origin_notice(response.body()))
            {
                if (origin.attempt == attempt)
                    target->software = std::move(origin.software);
            }
        }
    }
    catch (const state::error& failure)
    {
        state::log_event(state::log_level::info, "stream_origin_not_read")
            .field("request", attempt)
            .field("gateway", address)
            .field("problem", failure.what());
    }
    --target->open;
    target->done.notify();
}

} // namespace pomelorouter::app
