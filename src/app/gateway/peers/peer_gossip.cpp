#include "app/gateway/peers/peer_gossip.hpp"

#include "state/error.hpp"
#include "state/json_reader.hpp"
#include "state/log.hpp"
#include "transport/background_task.hpp"
#include "transport/http_error.hpp"
#include "transport/pause.hpp"

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <limits>
#include <map>
#include <utility>

namespace pomelorouter::app
{

namespace asio = boost::asio;
using state::milliseconds;
using state::now;

namespace
{

/// Minimum interval between urgent heartbeats to all gateways.
constexpr milliseconds min_urgent_interval{50};
/// Gateways that start together read the members once more after this time. A gateway
/// that starts later finds all earlier ones there, and they learn of it from its
/// heartbeats.
constexpr milliseconds reread_delay{2000};
constexpr milliseconds members_read_period{20000};
constexpr milliseconds retry_period{500};
/// Mean interval between the announcements of all gateways after the store's return.
constexpr milliseconds announce_step{10};
/// Time limits of a query of one seed, without progress and as a whole.
constexpr milliseconds seed_timeout{500};
constexpr milliseconds seed_total_timeout{1000};
/// Maximum size of a seed's list of members.
constexpr std::size_t max_member_list_bytes = 1024 * 1024;
/// Longest time after the start that a gateway waits for its aggregator.
constexpr milliseconds max_aggregator_wait{1500};
constexpr std::int64_t max_capacity = std::numeric_limits<std::int64_t>::max();

boost::json::object to_json(const protocol::gateway_member& member)
{
    return {{"node", member.node},        {"incarnation", member.incarnation},
            {"zone", member.zone},        {"frontend", member.frontend},
            {"control", member.control},  {"datagrams", member.datagrams},
            {"capacity", member.capacity}};
}

protocol::gateway_member member_from_json(const boost::json::value& value)
{
    state::json_reader reader(value, "gateway member");
    protocol::gateway_member member;
    member.node = reader.get_string("node");
    member.incarnation = reader.get_uint64("incarnation");
    member.zone = reader.get_string("zone");
    member.frontend = reader.get_string("frontend");
    member.control = reader.get_string("control");
    member.datagrams = reader.get_string("datagrams");
    member.capacity = reader.get_int("capacity", 0, max_capacity, 0);
    return member;
}

} // namespace

peer_gossip::peer_gossip(gateway_state& gateway, keyed_store& platform_store,
                         transport::http_client& http_client,
                         protocol::gateway_member own_member)
    : shared(gateway),
      store(platform_store),
      client(http_client),
      self(std::move(own_member)),
      table(self.node),
      plan(self),
      exchange(gateway),
      socket(gateway.executor)
{
}

void peer_gossip::start(fill_callback fill, heartbeat_callback on_heartbeat)
{
    this->fill_heartbeat = std::move(fill);
    this->heartbeat_received = std::move(on_heartbeat);
    this->started = now();
    this->self.datagrams =
        this->socket.listen(this->self.datagrams, [this](std::string_view datagram)
                            { this->on_datagram(datagram); });
    transport::spawn_restarting(this->shared.executor, "heartbeat_loop",
                                [this] { return this->heartbeat_loop(); });
    transport::spawn_restarting(this->shared.executor, "discovery_loop",
                                [this] { return this->discovery_loop(); });
}

void peer_gossip::set_addresses(std::string frontend, std::string control)
{
    this->self.frontend = std::move(frontend);
    this->self.control = std::move(control);
}

asio::awaitable<void> peer_gossip::heartbeat_loop()
{
    for (;;)
    {
        this->update_plan();
        this->update_allowances();
        if (this->urgent_pending)
            this->send_urgent();
        if (this->weights_pending)
            this->send_weights();
        const auto window =
            static_cast<std::uint64_t>(this->plan.report_interval_ticks());
        if (this->ticks % window == 0)
            this->update_notices(this->plan.report_interval_ticks() *
                                 coordination::gossip_tick_period);
        this->send(this->plan.targets(this->ticks++));
        for (const std::string& node : this->table.tick(now()))
        {
            this->exchange.forget(node);
            state::log_event(state::log_level::info, "gateway_forgotten")
                .field("gateway", node);
        }
        co_await transport::pause(this->shared.executor,
                                  coordination::gossip_tick_period);
    }
}

void peer_gossip::update_plan()
{
    std::vector<coordination::gossip_peer> members;
    std::size_t alive = 0;
    this->ready_peers.clear();
    for (protocol::gateway_member& member : this->table.known())
    {
        const bool is_alive = this->table.is_alive(now(), member.node);
        alive += is_alive ? 1 : 0;
        if (is_alive && member.ready)
            this->ready_peers.push_back(member.node);
        const bool is_aggregating = this->table.is_aggregating(now(), member.node);
        members.push_back({std::move(member), is_alive, is_aggregating});
    }
    this->shared.gateways = 1 + alive;
    this->plan.update(std::move(members), this->lease_holder);
    for (const std::string& node : this->plan.required_gateways())
        this->table.require_heartbeat(now(), node);
    const bool is_aggregator = this->plan.is_aggregator();
    if (is_aggregator)
        this->table.drop_silent_zones(now(), this->self.zone);
    if (is_aggregator == this->was_aggregator)
        return;
    this->was_aggregator = is_aggregator;
    if (is_aggregator)
        this->table.begin_aggregation(now(), this->self.zone);
    // Reports received in the other role count the same calls in a different way.
    this->exchange.forget_all();
    state::log_event(state::log_level::info, "aggregator_changed")
        .field("zone", this->self.zone)
        .field("aggregator", this->plan.aggregator_of(this->self.zone));
}

void peer_gossip::update_allowances()
{
    std::vector<coordination::known_gateway> gateways;
    for (protocol::gateway_member& member : this->table.known())
    {
        const bool is_alive = this->table.is_alive(now(), member.node);
        gateways.push_back({std::move(member.node), is_alive});
    }
    coordination::team_allowances& allowances = this->shared.allowances;
    allowances.set_known(now(), gateways);
    allowances.set_is_list_read(this->members_read || !gateways.empty());
    allowances.set_others(now(), this->shared.team_reports.others(now()));
}

/// All heartbeats of one window carry the same notices, since each goes to a different
/// gateway.
void peer_gossip::update_notices(milliseconds period)
{
    this->own_zone_notices.clear();
    this->remote_zone_notices.clear();
    if (!this->plan.announces_members())
        return;
    std::vector<protocol::member_notice> own_zone_members;
    std::vector<protocol::member_notice> remote_zone_members;
    for (const protocol::gateway_member& member : this->table.known())
    {
        const bool is_alive = this->table.is_alive(now(), member.node);
        own_zone_members.push_back({member, is_alive});
        if (member.zone == this->self.zone)
            remote_zone_members.push_back({member, is_alive});
    }
    this->own_zone_news.update(own_zone_members);
    this->remote_zone_news.update(remote_zone_members);
    this->own_zone_notices = this->own_zone_news.next(period);
    this->remote_zone_notices = this->remote_zone_news.next(period);
}

protocol::gateway_heartbeat peer_gossip::next_heartbeat()
{
    protocol::gateway_heartbeat heartbeat;
    heartbeat.origin = this->self;
    heartbeat.counter = ++this->counter;
    this->fill_heartbeat(heartbeat);
    this->lease_holder = heartbeat.lease.holder;
    return heartbeat;
}

void peer_gossip::send(const std::vector<coordination::gossip_target>& targets)
{
    if (targets.empty())
        return;
    protocol::gateway_heartbeat heartbeat = this->next_heartbeat();
    heartbeat.is_aggregator = this->plan.is_aggregator();
    const std::vector<protocol::engine_weights> weights = std::move(heartbeat.weights);
    // A datagram without loads is the same for all receivers with equal period and
    // weights, and is encoded once.
    std::map<std::pair<int, bool>, std::string> load_free_datagrams;
    this->exchange.reset_totals();
    for (const coordination::gossip_target& target : targets)
    {
        heartbeat.period = target.ticks * coordination::gossip_tick_period;
        heartbeat.weights.clear();
        if (target.has_weights)
            heartbeat.weights = weights;
        try
        {
            if (target.scope == protocol::load_scope::none)
            {
                std::string& datagram =
                    load_free_datagrams[{target.ticks, target.has_weights}];
                if (datagram.empty())
                {
                    heartbeat.scope = target.scope;
                    heartbeat.members.clear();
                    heartbeat.loads.clear();
                    heartbeat.speeds.clear();
                    heartbeat.rates.clear();
                    heartbeat.teams.clear();
                    heartbeat.team_reporters = 0;
                    datagram = encode_within_limit(heartbeat);
                }
                this->socket.send(target.address, datagram);
                continue;
            }
            this->exchange.fill(heartbeat, target);
            this->fill_members(heartbeat);
            this->socket.send(target.address, encode_within_limit(heartbeat));
        }
        catch (const state::error& failure)
        {
            state::log_event(state::log_level::error, "heartbeat_not_sent")
                .field("gateway", target.node)
                .field("problem", failure.what());
        }
    }
}

void peer_gossip::fill_members(protocol::gateway_heartbeat& heartbeat) const
{
    heartbeat.members.clear();
    if (heartbeat.scope == protocol::load_scope::zone)
        heartbeat.members = this->remote_zone_notices;
    if (heartbeat.scope == protocol::load_scope::others)
        heartbeat.members = this->own_zone_notices;
}

void peer_gossip::send_heartbeat()
{
    this->urgent_pending = true;
    if (now() - this->urgent_sent >= min_urgent_interval)
        this->send_urgent();
}

void peer_gossip::send_urgent()
{
    this->urgent_pending = false;
    this->urgent_sent = now();
    std::vector<coordination::gossip_target> targets = this->plan.all_targets();
    for (coordination::gossip_target& target : targets)
        target.scope = protocol::load_scope::none;
    this->send(targets);
}

void peer_gossip::send_weights()
{
    this->weights_pending = now() - this->weights_sent < min_urgent_interval;
    if (this->weights_pending)
        return;
    this->weights_sent = now();
    std::vector<coordination::gossip_target> targets;
    for (coordination::gossip_target& target : this->plan.all_targets())
    {
        target.scope = protocol::load_scope::none;
        if (target.has_weights)
            targets.push_back(std::move(target));
    }
    this->send(targets);
}

void peer_gossip::send_origins(const std::string& node,
                               const std::vector<protocol::stream_origin>& origins)
{
    const protocol::gateway_member* const member = this->table.find(node);
    if (member == nullptr)
        return;
    // Larger datagrams would be fragmented.
    constexpr std::size_t per_datagram = 32;
    for (std::size_t begin = 0; begin < origins.size(); begin += per_datagram)
    {
        const auto first = origins.begin() + static_cast<std::ptrdiff_t>(begin);
        const auto last =
            origins.begin() +
            static_cast<std::ptrdiff_t>(std::min(begin + per_datagram, origins.size()));
        this->socket.send(member->datagrams,
                          protocol::encode_origin_notice({first, last}));
    }
}

void peer_gossip::send_demand()
{
    std::vector<coordination::gossip_target> targets;
    for (coordination::gossip_target& target : this->plan.all_targets())
    {
        if (target.has_rates)
            targets.push_back(std::move(target));
    }
    this->send(targets);
}

void peer_gossip::on_datagram(std::string_view datagram)
{
    try
    {
        if (protocol::is_origin_notice(datagram))
        {
            this->origins_received(protocol::decode_origin_notice(datagram));
            return;
        }
        const auto heartbeat = protocol::decode_gateway_heartbeat(datagram);
        const bool was_alive = this->table.is_alive(now(), heartbeat.origin.node);
        if (!this->table.on_heartbeat(now(), heartbeat))
            return;
        if (!was_alive)
        {
            state::log_event(state::log_level::info, "gateway_heard")
                .field("gateway", heartbeat.origin.node)
                .field("incarnation", heartbeat.origin.incarnation);
        }
        if (heartbeat.is_aggregator)
        {
            for (const protocol::member_notice& notice : heartbeat.members)
                this->table.on_notice(now(), notice);
        }
        const bool must_forward_demand =
            this->exchange.accept(heartbeat, this->plan.is_aggregator());
        this->heartbeat_received(heartbeat);
        if (must_forward_demand)
            this->send_demand();
    }
    catch (const state::error& failure)
    {
        state::log_event(state::log_level::warning, "datagram_refused")
            .field("problem", failure.what());
    }
}

asio::awaitable<void> peer_gossip::discovery_loop()
{
    milliseconds next_read = reread_delay;
    for (;;)
    {
        if (!this->announced)
            this->announced = co_await this->announce();
        // A gateway with an aggregator learns of later members from it.
        const bool has_aggregator_updates =
            this->members_read && !this->plan.is_aggregator();
        const bool succeeded = has_aggregator_updates || co_await this->read_members();
        this->members_read |= succeeded;
        if (succeeded && this->announced)
        {
            co_await transport::pause(this->shared.executor,
                                      std::exchange(next_read, members_read_period));
            continue;
        }
        if (this->table.alive(now()).empty())
            co_await this->ask_seeds();
        co_await transport::pause(this->shared.executor, retry_period);
    }
}

asio::awaitable<bool> peer_gossip::announce()
{
    try
    {
        co_await this->store.append(store_topic::members, this->self.node,
                                    boost::json::serialize(to_json(this->self)),
                                    std::nullopt);
        co_return true;
    }
    catch (const state::error& failure)
    {
        state::log_event(state::log_level::warning, "announce_failed")
            .field("problem", failure.what());
        co_return false;
    }
}

void peer_gossip::on_store_returned()
{
    this->announced = false;
    transport::spawn_task(this->shared.executor, "announce_again",
                          this->announce_again());
}

/// The delay spreads the appends of many gateways. If the append fails, the discovery
/// loop repeats it.
asio::awaitable<void> peer_gossip::announce_again()
{
    const double longest_ms = static_cast<double>(announce_step.count()) *
                              static_cast<double>(this->shared.gateways);
    co_await transport::pause(
        this->shared.executor,
        milliseconds(static_cast<std::int64_t>(longest_ms * this->shared.random.unit())));
    if (!this->announced)
        this->announced = co_await this->announce();
}

asio::awaitable<bool> peer_gossip::read_members()
{
    try
    {
        const keyed_page page = co_await this->store.newest(store_topic::members);
        for (const keyed_record& record : page.records)
        {
            if (!record.is_removal)
                this->add_member(record.value);
        }
        co_return true;
    }
    catch (const state::error& failure)
    {
        state::log_event(state::log_level::info, "members_not_read")
            .field("problem", failure.what());
        co_return false;
    }
}

void peer_gossip::add_member(const std::string& document)
{
    try
    {
        this->table.add_known(
            now(), member_from_json(state::parse_json(document, "gateway member")));
    }
    catch (const state::error& failure)
    {
        state::log_event(state::log_level::warning, "member_unreadable")
            .field("problem", failure.what());
    }
}

asio::awaitable<void> peer_gossip::ask_seeds()
{
    transport::http_call_options options;
    options.progress_timeout = seed_timeout;
    options.total_timeout = seed_total_timeout;
    options.max_body_bytes = max_member_list_bytes;
    const state::gateway_settings_ptr settings = this->shared.settings;
    for (const std::string& seed : settings->seeds)
    {
        if (seed == this->self.control)
            continue;
        // The next round asks the new seeds.
        if (this->shared.settings->seeds != settings->seeds)
            co_return;
        try
        {
            const transport::http_response response = co_await this->client.fetch(
                seed, transport::make_request(transport::verb::get, "/gateway/members"),
                options);
            const boost::json::value list =
                state::parse_json(response.body(), seed + "/gateway/members");
            if (!list.is_array())
                continue;
            for (const boost::json::value& item : list.get_array())
                this->table.add_known(now(), member_from_json(item));
            co_return;
        }
        catch (const state::error& failure)
        {
            state::log_event(state::log_level::info, "seed_failed")
                .field("seed", seed)
                .field("problem", failure.what());
        }
    }
}

std::vector<gateway_address> peer_gossip::ready_addresses() const
{
    std::vector<gateway_address> result;
    if (this->self.ready)
        result.push_back({this->self.frontend, this->self.zone});
    for (const protocol::gateway_member& member : this->table.ready(now()))
        result.push_back({member.frontend, member.zone});
    return result;
}

std::vector<std::string> peer_gossip::ready_nodes() const
{
    std::vector<std::string> result = this->ready_peers;
    if (this->self.ready)
        result.push_back(this->self.node);
    return result;
}

std::string peer_gossip::aggregator_control() const
{
    const protocol::gateway_member* const member =
        this->table.find(this->plan.aggregator_of(this->self.zone));
    return member == nullptr ? "" : member->control;
}

bool peer_gossip::awaits_aggregator() const
{
    if (now() - this->started >= max_aggregator_wait)
        return false;
    const std::string aggregator = this->plan.aggregator_of(this->self.zone);
    if (this->table.is_heard(now(), aggregator))
        return false;
    if (!this->members_read)
        return true;
    const std::vector<protocol::gateway_member> known = this->table.known();
    // The strongest gateway of a zone does not wait: it becomes the aggregator.
    const auto may_aggregate = [this](const protocol::gateway_member& member)
    { return member.zone == this->self.zone && is_preferred(member, this->self); };
    return known.size() >= coordination::full_mesh_limit &&
           std::any_of(known.begin(), known.end(), may_aggregate);
}

std::size_t peer_gossip::rank() const
{
    std::size_t rank = 0;
    for (const protocol::gateway_member& member : this->table.alive(now()))
    {
        if (is_preferred(member, this->self))
            ++rank;
    }
    return rank;
}

std::string peer_gossip::members_json() const
{
    boost::json::array list{to_json(this->self)};
    for (const protocol::gateway_member& member : this->table.known())
        list.push_back(to_json(member));
    return boost::json::serialize(list);
}

} // namespace pomelorouter::app
