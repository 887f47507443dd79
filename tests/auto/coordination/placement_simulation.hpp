#pragma once

#include "coordination/placement_agent.hpp"

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace placement_test
{

using namespace pomelorouter; // NOLINT(google-build-using-namespace): test file
using state::milliseconds;
using state::time_point;

/// Simulated engine that accepts any order and records its peak memory use, independently
/// of the state of the nodes.
struct model_engine
{
    std::string id;
    std::string zone;
    bool checks_fence = false;
    std::int64_t capacity = 100;
    std::int64_t limit = 80;
    std::uint64_t incarnation = 1;
    std::uint64_t fence = 0;
    std::string status_of(const std::string& order) const;
    std::int64_t used() const;
    std::map<coordination::model_key, state::resident_model> resident;
    std::map<std::string, std::string> orders;
    std::int64_t peak_bytes = 0;
    bool down = false;
};

struct model_log
{
    std::vector<std::string> records;
    std::uint64_t first = 0;
    bool down = false;
};

struct fault_rates
{
    double lost_append_response = 0.0;
    double lost_order = 0.0;
    double lost_order_response = 0.0;
};

class simulation;

/// Simulated node: its agent, and the events that are deferred while it is frozen.
class model_node : public coordination::placement_port, public coordination::peer_status
{
public:
    model_node(simulation& world, std::size_t rank, std::uint64_t incarnation);

    void append(std::string data) override;
    void send(const std::string& engine, const protocol::engine_order& order) override;
    void record_event(std::string, std::vector<state::event_field>) override {}
    bool has_ended(const std::string& node, std::uint64_t incarnation) const override;
    std::size_t lease_rank(const std::string&) const override;
    bool may_hold_lease() const override { return true; }

    std::string id() const { return "n" + std::to_string(this->rank); }

    simulation& world;
    std::size_t rank;
    std::uint64_t incarnation;
    std::uint64_t position = 0;
    bool frozen = false;
    bool began = false;
    bool read_running = false;
    std::vector<std::function<void()>> backlog;
    coordination::placement_agent agent;
};

/// Simulates nodes, engines and the log in virtual time.
class simulation
{
public:
    simulation(std::uint64_t seed, const std::string& tree, std::size_t nodes);

    void add_engine(const std::string& zone, bool checks_fence);
    void set_tree(const std::string& tree);
    void run_for(milliseconds duration);
    /// Runs until the condition holds; returns false if it does not within the limit.
    bool run_until(const std::function<bool()>& condition, milliseconds limit);

    void freeze(std::size_t node) { this->nodes[node]->frozen = true; }
    void thaw(std::size_t node);
    void replace(std::size_t node);
    void restart_engine(std::size_t engine);
    void at(milliseconds delay, std::function<void()> run);
    bool is_offered(const std::string& model) const;
    /// Returns the version of a model in the settings.
    std::string version_of(const std::string& model) const;
    void expire_log(std::uint64_t first) { this->log.first = first; }
    model_node* holder();
    std::int64_t ready_copies(const std::string& model, const std::string& version) const;
    /// Returns the engines whose models used more memory than the limit.
    std::vector<std::string> overcommitted() const;
    milliseconds random_delay(std::int64_t low, std::int64_t high);
    bool draw(double probability);

    time_point now{};
    model_log log;
    fault_rates faults;
    coordination::demand_map demand;
    std::vector<model_engine> engines;
    std::vector<std::unique_ptr<model_node>> nodes;
    /// Orders that removed the last ready copy of a model.
    std::vector<std::string> last_copies_removed;
    /// Freezes the next node that decides to send an order, before the order is sent.
    bool freeze_on_send = false;
    /// All nodes get rank 0, so that their claims race.
    bool all_have_first_rank = false;
    /// Called for each order that a node sends.
    std::function<void(const model_node&, const protocol::engine_order&)> on_send;
    std::mt19937_64 random;

private:
    friend class model_node;

    struct timed
    {
        time_point when;
        std::uint64_t order = 0;
        std::function<void()> run;
        bool operator<(const timed& other) const
        {
            return std::tie(other.when, other.order) < std::tie(this->when, this->order);
        }
    };

    /// Runs an event on a node: deferred while it is frozen, dropped after it was
    /// replaced.
    void at_node(model_node& node, milliseconds delay, std::function<void()> run);
    void append(model_node& node, std::string data);
    void deliver(model_node& node, const std::string& engine,
                 const protocol::engine_order& order);
    coordination::send_outcome accept(model_engine& engine,
                                      const protocol::engine_order& order);
    void finish(std::size_t engine, std::uint64_t incarnation,
                const protocol::engine_order& order);
    void tick();
    void read_log(model_node& node);
    void poll_engines(model_node& node);

    std::shared_ptr<const state::settings> tree;
    std::uint64_t next_event = 0;
    std::uint64_t next_incarnation = 100;
    std::int64_t ticks = 0;
    std::priority_queue<timed> events;
    std::set<std::pair<std::string, std::uint64_t>> dead;
    std::vector<std::unique_ptr<model_node>> replaced;
};

} // namespace placement_test
