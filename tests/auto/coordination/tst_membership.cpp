#include "coordination/membership.hpp"

#include "protocol/peer_codec.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <memory>
#include <utility>

namespace
{

using namespace pomelorouter; // NOLINT(google-build-using-namespace): test file
using coordination::membership;
using coordination::membership_event;
using coordination::own_health;
using state::milliseconds;
using state::time_point;

constexpr milliseconds step{100};
constexpr milliseconds latency{20};
const coordination::membership_times times;
// IPv4 and TCP headers without options, for a frame and for its acknowledgement.
constexpr std::size_t packet_overhead_bytes = 2 * 40;

std::string name_of(std::size_t index)
{
    return "hn-1-node-" + std::to_string(1000 + index);
}

/// Simulates nodes in virtual time, with one-way network failures and an instance list
/// that does not change by itself.
class cluster
{
public:
    cluster(std::size_t size, std::uint64_t seed) : random(seed), nodes(size)
    {
        for (std::size_t i = 0; i < size; ++i)
        {
            this->start(i);
            this->list.push_back(this->instance_of(i));
        }
        for (auto& item : this->nodes)
            item.detector->on_list(this->list, this->now);
    }

    struct node
    {
        std::unique_ptr<membership> detector;
        std::uint64_t incarnation = 0;
        bool paused = false;
        bool dead = false;
        /// Time at which this node last declared each peer failed.
        std::map<std::string, time_point> unlisted_at;
        std::size_t bytes_sent = 0;
    };

    void start(std::size_t index)
    {
        node& item = this->nodes[index];
        item.incarnation = ++this->last_incarnation;
        item.detector = std::make_unique<membership>(
            name_of(index), item.incarnation, name_of(index) + ":7000", this->random());
        item.detector->set_own({true, false, 0, 0});
        item.detector->on_list(this->list, this->now);
        item.paused = item.dead = false;
        item.unlisted_at.clear();
    }

    state::instance instance_of(std::size_t index) const
    {
        state::instance result;
        result.id = name_of(index);
        result.address = name_of(index) + ":80";
        result.peer_address = name_of(index) + ":7000";
        return result;
    }

    void run(milliseconds duration)
    {
        for (const time_point end = this->now + duration; this->now < end;)
        {
            this->now += step;
            for (std::size_t i = 0; i < this->nodes.size(); ++i)
                this->run_node(i);
        }
    }

    bool hears_all(std::size_t index) const
    {
        return std::ranges::all_of(
            this->nodes,
            [&](const node& other)
            {
                const auto peer = static_cast<std::size_t>(&other - this->nodes.data());
                return other.dead || this->nodes[index].detector->is_live(name_of(peer));
            });
    }

    /// Interrupted connections, as (from, to).
    std::map<std::pair<std::size_t, std::size_t>, bool> cuts;
    std::mt19937_64 random;
    std::vector<node> nodes;
    std::vector<state::instance> list;
    time_point now{};
    std::size_t fast_returns = 0;
    std::size_t unlistings = 0;

private:
    struct delivery
    {
        time_point at;
        std::size_t from;
        protocol::heartbeat message;
        bool needs_response;
    };

    void run_node(std::size_t index)
    {
        node& item = this->nodes[index];
        if (item.dead || item.paused)
            return;
        std::vector<delivery> due = std::exchange(this->inbox[index], {});
        for (delivery& message : due)
        {
            if (message.at > this->now)
            {
                this->inbox[index].push_back(std::move(message));
                continue;
            }
            item.detector->on_heartbeat(message.message, this->now);
            if (message.needs_response)
                this->send(index, message.from, item.detector->make_response(), false);
        }
        for (const auto& sent : item.detector->tick(this->now))
        {
            const auto target = static_cast<std::size_t>(
                std::stoul(sent.node.substr(sent.node.rfind('-') + 1)) - 1000);
            this->send(index, target, sent.message, true);
        }
        this->check_events(item);
    }

    void send(std::size_t from, std::size_t to, const protocol::heartbeat& message,
              bool needs_response)
    {
        this->nodes[from].bytes_sent +=
            protocol::encode_peer_frame({name_of(from), message}).size() +
            packet_overhead_bytes;
        if (!this->cuts[{from, to}] && !this->nodes[to].dead)
            this->inbox[to].push_back(
                {this->now + latency, from, message, needs_response});
    }

    void check_events(node& item)
    {
        for (const membership_event& event : item.detector->take_events())
        {
            if (event.kind == membership_event::change::unlisted)
            {
                item.unlisted_at[event.node] = this->now;
                ++this->unlistings;
            }
            if (event.kind != membership_event::change::listed)
                continue;
            const auto unlisted = item.unlisted_at.find(event.node);
            if (unlisted != item.unlisted_at.end() &&
                this->now - unlisted->second < times.rejoin_after)
                ++this->fast_returns;
        }
    }

    std::uint64_t last_incarnation = 0;
    std::map<std::size_t, std::vector<delivery>> inbox;
};

/// Upper bound of the time to detect a failed peer: the timeout, and the rounds to spread
/// and to refute a suspicion.
milliseconds detection_bound(std::size_t size)
{
    std::int64_t rounds = 1;
    for (std::size_t reached = 1; reached < size; reached *= membership::fan_out)
        ++rounds;
    return times.suspect_after + 2 * rounds * times.heartbeat;
}

} // namespace

// Guards against requests being sent to a failed node, in any combination of pauses,
// one-way network failures, restarts and an instance list that still contains the failed
// node, and against nodes that do not rejoin.
TEST_CASE("in 600 random fault schedules the failure detector keeps its time bounds")
{
    constexpr std::size_t schedules = 600;
    constexpr std::size_t size = 7;
    for (std::size_t schedule = 0; schedule < schedules; ++schedule)
    {
        CAPTURE(schedule);
        cluster nodes(size, 41000 + schedule); // reproducible seed
        nodes.run(milliseconds(10000));
        for (std::size_t i = 0; i < size; ++i)
            REQUIRE(nodes.hears_all(i));
        REQUIRE(nodes.unlistings == 0);

        const std::size_t victim = nodes.random() % size;
        const std::uint64_t old_incarnation = nodes.nodes[victim].incarnation;
        const bool is_restart = nodes.random() % 2 == 0;
        for (std::size_t cut = nodes.random() % 3; cut > 0; --cut)
            nodes.cuts[{nodes.random() % size, nodes.random() % size}] = true;
        (is_restart ? nodes.nodes[victim].dead : nodes.nodes[victim].paused) = true;
        // The victim misses a change of the settings.
        for (std::size_t i = 0; i < size; ++i)
            nodes.nodes[i].detector->set_own({true, false, i == victim ? 1U : 2U, 1});
        nodes.run(detection_bound(size));
        for (std::size_t i = 0; i < size; ++i)
        {
            if (i != victim)
                CHECK_FALSE(nodes.nodes[i].detector->is_live(name_of(victim)));
        }
        nodes.run(milliseconds(nodes.random() % 8000));
        if (is_restart)
            nodes.start(victim);
        nodes.nodes[victim].paused = false;
        const auto lag = milliseconds(nodes.random() % 5000);
        nodes.run(lag);
        nodes.cuts.clear();
        nodes.run(detection_bound(size) + times.rejoin_after);
        for (std::size_t i = 0; i < size; ++i)
        {
            const membership& detector = *nodes.nodes[i].detector;
            CHECK(nodes.hears_all(i));
            CHECK(detector.health() == (i == victim && !is_restart
                                            ? own_health::catching_up
                                            : own_health::healthy));
            if (i != victim)
                CHECK(detector.has_ended(name_of(victim), old_incarnation) == is_restart);
        }
        // The first read of the log may have started before the pause, so only the second
        // one counts.
        nodes.nodes[victim].detector->on_log_read(nodes.now);
        nodes.run(step);
        CHECK((nodes.nodes[victim].detector->health() == own_health::healthy) ==
              is_restart);
        nodes.nodes[victim].detector->on_log_read(nodes.now);
        nodes.run(step);
        CHECK(nodes.nodes[victim].detector->health() == own_health::healthy);
        // A pause that ends while the peers are declaring the node failed.
        nodes.nodes[victim].paused = true;
        nodes.run(milliseconds(3000 + nodes.random() % 4000));
        nodes.nodes[victim].paused = false;
        nodes.run(detection_bound(size) + times.rejoin_after);
        for (std::size_t i = 0; i < size; ++i)
            CHECK(nodes.hears_all(i));
        CHECK(nodes.fast_returns == 0);
    }
}

// Guards against a healthy node being declared failed because of a single broken link.
TEST_CASE("failures of single links do not make any node count as failed")
{
    for (std::uint64_t seed = 0; seed < 50; ++seed)
    {
        CAPTURE(seed);
        cluster nodes(7, seed);
        nodes.cuts[{0, 1}] = true;
        nodes.cuts[{2, 3}] = nodes.cuts[{3, 2}] = true;
        nodes.run(milliseconds(60000));
        CHECK(nodes.unlistings == 0);
    }
}

// Guards against a node that serves although it is disconnected, and against nodes of
// small clusters that wrongly become isolated.
TEST_CASE("a node is isolated when it hears fewer than half of its region")
{
    struct row
    {
        std::size_t size;
        std::size_t unheard;
        own_health expected;
    };
    const std::vector<row> rows{
        {1, 0, own_health::healthy},  {2, 1, own_health::healthy},
        {3, 2, own_health::isolated}, {4, 2, own_health::healthy},
        {6, 3, own_health::healthy},  {7, 3, own_health::healthy},
        {7, 4, own_health::isolated}, {7, 6, own_health::isolated},
    };
    for (const row& item : rows)
    {
        CAPTURE(item.size);
        CAPTURE(item.unheard);
        cluster nodes(item.size, 5);
        nodes.run(milliseconds(10000));
        for (std::size_t i = 1; i <= item.unheard; ++i)
            nodes.nodes[i].paused = true;
        nodes.run(times.suspect_after / 2);
        CHECK(nodes.nodes[0].detector->health() == own_health::healthy);
        nodes.run(detection_bound(item.size));
        CHECK(nodes.nodes[0].detector->health() == item.expected);
    }
}

// Guards against an outdated list, and against a process that is reported as ended while
// it may still run: its orders would be closed and the memory that they reserve released.
TEST_CASE("the list removes a failed node and keeps one that is heard")
{
    cluster nodes(4, 9);
    nodes.run(milliseconds(5000));
    membership& detector = *nodes.nodes[0].detector;
    auto shorter = nodes.list;
    shorter.pop_back();
    detector.on_list(shorter, nodes.now);
    CHECK(detector.is_live(name_of(3)));
    CHECK_FALSE(detector.members().back().live);
    CHECK_FALSE(detector.has_ended(name_of(3), nodes.nodes[3].incarnation));
    nodes.nodes[3].paused = true;
    nodes.run(detection_bound(4));
    CHECK_FALSE(detector.has_ended(name_of(3), nodes.nodes[3].incarnation));
    detector.on_list(shorter, nodes.now);
    CHECK(detector.has_ended(name_of(3), nodes.nodes[3].incarnation));
    CHECK_FALSE(detector.has_ended(name_of(1), nodes.nodes[1].incarnation));
    CHECK_FALSE(detector.has_ended("unlisted-node", 1));
}

// Guards against two nodes that both have the first rank for a key and, if the key is
// that of a lease, both become its holder.
TEST_CASE("nodes that hear each other agree on the rank of each node")
{
    cluster nodes(7, 13);
    nodes.run(milliseconds(5000));
    for (const char* key : {"placement/hanoi", "settings", "claims"})
    {
        std::vector<std::size_t> ranks;
        for (const auto& item : nodes.nodes)
            ranks.push_back(item.detector->rank(key));
        std::ranges::sort(ranks);
        for (std::size_t i = 0; i < ranks.size(); ++i)
            CHECK(ranks[i] == i);
    }
}

// Guards against nodes with an outdated list sending new work to a leaving backend
// server.
TEST_CASE("a leaving flag reaches every node")
{
    cluster nodes(7, 17);
    nodes.run(milliseconds(5000));
    nodes.nodes[0].detector->mark_backend_leaving({"engine-4", 2}, nodes.now);
    nodes.run(milliseconds(4000));
    for (const auto& item : nodes.nodes)
    {
        CHECK(item.detector->is_leaving({"engine-4", 2}));
        CHECK_FALSE(item.detector->is_leaving({"engine-4", 3}));
    }
}

// Guards against traffic per node that grows with the number of nodes (target: 2 KB/s at
// 360 nodes), and against a failure detector that does not work at that size.
TEST_CASE("at 360 nodes the traffic of a node is within its budget")
{
    constexpr std::size_t size = 360;
    constexpr std::size_t budget_bytes_per_s = 2048;
    constexpr std::int64_t seconds = 20;
    cluster nodes(size, 23);
    nodes.run(milliseconds(60000));
    for (std::size_t i = 0; i < size; ++i)
        CHECK(nodes.hears_all(i));
    for (auto& item : nodes.nodes)
        item.bytes_sent = 0;
    nodes.nodes[100].dead = true;
    nodes.run(std::max(milliseconds(1000 * seconds), detection_bound(size)));
    std::size_t total = 0;
    std::size_t live_views_of_dead = 0;
    for (const auto& item : nodes.nodes)
    {
        total += item.bytes_sent;
        live_views_of_dead += !item.dead && item.detector->is_live(name_of(100)) ? 1 : 0;
    }
    const std::size_t mean = total / (size * seconds);
    MESSAGE("bytes/s sent by a node: " << mean);
    CHECK(mean <= budget_bytes_per_s);
    CHECK(live_views_of_dead == 0);
    CHECK(nodes.unlistings == size - 1);
}
