#pragma once

#include "app/gateway/peers/peer_gossip.hpp"
#include "app/gateway/serving/gateway_state.hpp"
#include "coordination/stream_origins.hpp"
#include "protocol/stream_origin_notice.hpp"
#include "state/counters.hpp"
#include "transport/http_client.hpp"

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace pomelorouter::app
{

/// Tells the other gateways which software version began a stream, and asks them about
/// streams that callers resume here.
class stream_origin_exchange
{
public:
    stream_origin_exchange(gateway_state& gateway, transport::http_client& client,
                           peer_gossip& peers, state::counter_registry& counters);

    /// Records a stream of this gateway and passes it on with the next tick.
    void on_begun(const std::string& attempt, const std::string& software);
    /// Records what another gateway passed on.
    void on_notice(const std::vector<protocol::stream_origin>& origins);
    /// Finds the version that began a stream of `service`, which is not older than `age`.
    boost::asio::awaitable<std::optional<std::string>>
    find(std::string attempt, std::string service, state::milliseconds age);
    /// Returns the version that began a stream, as far as this gateway knows it.
    std::optional<std::string> known(std::string_view attempt) const
    {
        return this->origins.find(attempt);
    }
    void tick();

private:
    struct inquiry;

    boost::asio::awaitable<void> ask(std::string address, std::string attempt,
                                     std::shared_ptr<inquiry> target);
    std::vector<std::string> other_nodes() const;
    void update_versions();

    gateway_state& shared;
    transport::http_client& client;
    peer_gossip& peers;
    coordination::stream_origins origins;
    coordination::software_history versions;
    std::vector<protocol::stream_origin> pending;
    std::size_t open_inquiries = 0;
    state::counter& asked;
    state::counter& unknown;
};

} // namespace pomelorouter::app
