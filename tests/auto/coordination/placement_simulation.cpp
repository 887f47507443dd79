#include "placement_simulation.hpp"

#include "state/error.hpp"

#include <boost/json/parse.hpp>

#include <algorithm>
#include <tuple>

namespace placement_test
{

using coordination::append_outcome;
using coordination::send_outcome;
using protocol::order_step;

namespace
{
constexpr milliseconds tick_period{50};
constexpr int ticks_per_poll = 4;
// Delay until the instance list no longer contains a node that has ended.
constexpr milliseconds list_lag{2000};
constexpr milliseconds response_timeout{1000};
constexpr std::int64_t load_ms = 300;
} // namespace

std::string model_engine::status_of(const std::string& order) const
{
    const auto found = this->orders.find(order);
    return found == this->orders.end() ? "" : found->second;
}

std::int64_t model_engine::used() const
{
    std::int64_t total = 0;
    for (const auto& [key, item] : this->resident)
        total += item.bytes;
    return total;
}

model_node::model_node(simulation& simulated, std::size_t node_rank,
                       std::uint64_t node_incarnation)
    : world(simulated),
      rank(node_rank),
      incarnation(node_incarnation),
      agent("n" + std::to_string(node_rank), node_incarnation, "z1", *this, *this)
{
}

void model_node::append(std::string data)
{
    this->world.append(*this, std::move(data));
}

void model_node::send(const std::string& engine, const protocol::engine_order& order)
{
    // The order is decided but is sent later; a pause in between is the critical case.
    if (std::exchange(this->world.freeze_on_send, false))
        this->frozen = true;
    this->world.at_node(*this, milliseconds(1),
                        [this, engine, order]
                        { this->world.deliver(*this, engine, order); });
}

bool model_node::has_ended(const std::string& node, std::uint64_t incarnation_of) const
{
    return this->world.dead.contains({node, incarnation_of});
}

std::size_t model_node::lease_rank(const std::string&) const
{
    return this->world.all_have_first_rank ? 0 : this->rank;
}

simulation::simulation(std::uint64_t seed, const std::string& settings,
                       std::size_t node_count)
    : random(seed)
{
    this->now += state::seconds(1000);
    for (std::size_t i = 0; i < node_count; ++i)
        this->nodes.push_back(std::make_unique<model_node>(*this, i, 1));
    this->set_tree(settings);
}

void simulation::add_engine(const std::string& zone, bool checks_fence)
{
    model_engine engine;
    engine.id = "e" + std::to_string(this->engines.size());
    engine.zone = zone;
    engine.checks_fence = checks_fence;
    this->engines.push_back(engine);
}

void simulation::set_tree(const std::string& text)
{
    this->tree = std::make_shared<const state::settings>(
        state::resolve_settings(boost::json::parse(text), "test"));
    for (const auto& node : this->nodes)
        this->at_node(*node, milliseconds(0),
                      [target = node.get(), settings = this->tree]
                      { target->agent.on_settings(settings); });
}

void simulation::run_for(milliseconds duration)
{
    this->run_until([] { return false; }, duration);
}

bool simulation::run_until(const std::function<bool()>& condition, milliseconds limit)
{
    const time_point end = this->now + limit;
    while (this->now < end)
    {
        if (condition())
            return true;
        this->tick();
        const time_point next = this->now + tick_period;
        while (!this->events.empty() && this->events.top().when <= next)
        {
            timed event = this->events.top();
            this->events.pop();
            this->now = std::max(this->now, event.when);
            event.run();
        }
        this->now = next;
    }
    return condition();
}

void simulation::thaw(std::size_t index)
{
    model_node& node = *this->nodes[index];
    node.frozen = false;
    for (auto& run : std::exchange(node.backlog, {}))
        this->at_node(node, milliseconds(0), std::move(run));
}

void simulation::replace(std::size_t index)
{
    model_node& old = *this->nodes[index];
    old.frozen = true;
    this->at(list_lag, [this, key = std::pair(old.id(), old.incarnation)]
             { this->dead.insert(key); });
    this->replaced.push_back(std::move(this->nodes[index]));
    this->nodes[index] =
        std::make_unique<model_node>(*this, index, ++this->next_incarnation);
    this->nodes[index]->agent.on_settings(this->tree);
}

void simulation::restart_engine(std::size_t index)
{
    model_engine& engine = this->engines[index];
    engine.resident.clear();
    engine.orders.clear();
    engine.fence = 0;
    ++engine.incarnation;
}

model_node* simulation::holder()
{
    for (const auto& node : this->nodes)
    {
        if (!node->frozen && node->agent.lease().is_holder())
            return node.get();
    }
    return nullptr;
}

std::int64_t simulation::ready_copies(const std::string& model,
                                      const std::string& version) const
{
    return std::count_if(
        this->engines.begin(), this->engines.end(),
        [&](const model_engine& engine)
        {
            const auto found = engine.resident.find({model, version, ""});
            return found != engine.resident.end() && found->second.ready;
        });
}

bool simulation::is_offered(const std::string& model) const
{
    return this->tree->find_model("s", model) != nullptr;
}

std::string simulation::version_of(const std::string& model) const
{
    return this->tree->find_model("s", model)->version;
}

std::vector<std::string> simulation::overcommitted() const
{
    std::vector<std::string> result;
    for (const model_engine& engine : this->engines)
    {
        if (engine.peak_bytes > engine.limit)
            result.push_back(engine.id + " used " + std::to_string(engine.peak_bytes));
    }
    return result;
}

milliseconds simulation::random_delay(std::int64_t low, std::int64_t high)
{
    return milliseconds(std::uniform_int_distribution<std::int64_t>(low, high)(random));
}

bool simulation::draw(double probability)
{
    return std::uniform_real_distribution<>(0.0, 1.0)(this->random) < probability;
}

void simulation::at(milliseconds delay, std::function<void()> run)
{
    this->events.push({this->now + delay, this->next_event++, std::move(run)});
}

void simulation::at_node(model_node& node, milliseconds delay, std::function<void()> run)
{
    this->at(delay,
             [this, &node, run = std::move(run)]
             {
                 const bool is_gone =
                     std::any_of(this->replaced.begin(), this->replaced.end(),
                                 [&](const auto& old) { return old.get() == &node; });
                 if (is_gone)
                     return;
                 if (node.frozen)
                     node.backlog.push_back(run);
                 else
                     run();
             });
}

void simulation::append(model_node& node, std::string data)
{
    const auto respond = [this, &node](append_outcome end, milliseconds delay)
    {
        this->at_node(node, delay,
                      [this, &node, end]
                      { node.agent.on_append_outcome(end, this->now); });
    };
    if (this->log.down)
    {
        respond(append_outcome::not_appended, milliseconds(100));
        return;
    }
    const bool is_lost = this->draw(this->faults.lost_append_response);
    // If the response is lost, the record may be appended at once, much later or never.
    const milliseconds delay =
        is_lost ? this->random_delay(1, 3000) : this->random_delay(1, 20);
    if (!is_lost || this->draw(0.7))
        this->at(delay,
                 [this, data = std::move(data)] { this->log.records.push_back(data); });
    respond(is_lost ? append_outcome::unknown : append_outcome::appended,
            is_lost ? response_timeout : delay + milliseconds(1));
}

void simulation::deliver(model_node& node, const std::string& engine,
                         const protocol::engine_order& order)
{
    if (this->on_send)
        this->on_send(node, order);
    const bool is_lost = this->draw(this->faults.lost_order);
    const bool is_response_lost = is_lost || this->draw(this->faults.lost_order_response);
    // Orders stay in the network for less than the margin in the settings of these tests.
    const milliseconds delay = this->random_delay(1, is_response_lost ? 900 : 30);
    const auto respond =
        [this, &node, id = order.order_id](send_outcome end, milliseconds wait)
    {
        this->at_node(node, wait,
                      [this, &node, id, end]
                      { node.agent.on_send_outcome(id, end, this->now); });
    };
    if (is_response_lost)
        respond(send_outcome::unknown, milliseconds(200));
    if (is_lost)
        return;
    this->at(delay,
             [this, engine, order, respond, is_response_lost]
             {
                 for (model_engine& target : this->engines)
                 {
                     if (target.id != engine || target.down)
                         continue;
                     const send_outcome end = this->accept(target, order);
                     if (!is_response_lost)
                         respond(end, milliseconds(1));
                 }
             });
}

send_outcome simulation::accept(model_engine& engine, const protocol::engine_order& order)
{
    if (engine.checks_fence && order.fence < engine.fence)
        return send_outcome::stale_fence;
    engine.fence = std::max(engine.fence, order.fence);
    if (!engine.orders.emplace(order.order_id, "running").second)
        return send_outcome::accepted;
    const coordination::model_key key{order.model, order.version, order.adapter};
    if (order.step == order_step::load && !engine.resident.contains(key))
    {
        engine.resident[key] = {order.model, order.version, order.adapter, order.bytes,
                                false};
        engine.peak_bytes = std::max(engine.peak_bytes, engine.used());
    }
    const auto index = static_cast<std::size_t>(&engine - this->engines.data());
    this->at(this->random_delay(1, load_ms),
             [this, index, incarnation = engine.incarnation, order]
             { this->finish(index, incarnation, order); });
    return send_outcome::accepted;
}

void simulation::finish(std::size_t index, std::uint64_t incarnation,
                        const protocol::engine_order& order)
{
    model_engine& engine = this->engines[index];
    if (engine.incarnation != incarnation)
        return;
    engine.orders[order.order_id] = "done";
    const coordination::model_key key{order.model, order.version, order.adapter};
    const auto found = engine.resident.find(key);
    if (found == engine.resident.end())
        return;
    if (order.step == order_step::load)
        found->second.ready = true;
    if (order.step != order_step::unload)
        return;
    engine.resident.erase(found);
    // A copy of an older version counts as much as one of the version in the settings.
    bool is_left = !this->is_offered(order.model);
    for (const model_engine& other : this->engines)
    {
        for (const auto& [present, item] : other.resident)
            is_left = is_left || (present.model == order.model && item.ready);
    }
    if (!is_left)
        this->last_copies_removed.push_back(order.order_id + " " + order.model);
}

void simulation::tick()
{
    ++this->ticks;
    for (const auto& node : this->nodes)
    {
        if (node->frozen)
            continue;
        this->read_log(*node);
        if (this->ticks % ticks_per_poll == 0)
            this->poll_engines(*node);
        this->at_node(*node, milliseconds(1),
                      [this, target = node.get()]
                      { target->agent.on_tick(this->now, this->demand); });
    }
}

void simulation::read_log(model_node& node)
{
    if (this->log.down || std::exchange(node.read_running, true))
        return;
    this->at_node(node, this->random_delay(1, 20),
                  [this, &node]
                  {
                      node.read_running = false;
                      const std::uint64_t first = this->log.first;
                      if (!std::exchange(node.began, true) || node.position < first)
                      {
                          node.position = std::max(node.position, first);
                          node.agent.begin_at(first == 0 ? 0 : node.position);
                      }
                      for (; node.position < this->log.records.size(); ++node.position)
                          node.agent.on_record(this->now, node.position,
                                               this->log.records[node.position]);
                      node.agent.on_page_end(this->now);
                  });
}

void simulation::poll_engines(model_node& node)
{
    std::vector<coordination::listed_engine> listed;
    for (const model_engine& engine : this->engines)
        listed.push_back({engine.id, engine.zone, false});
    this->at_node(node, milliseconds(1),
                  [this, &node, listed] { node.agent.on_engines(listed, this->now); });
    for (const model_engine& engine : this->engines)
    {
        if (engine.down)
        {
            this->at_node(node, milliseconds(1),
                          [&node, id = engine.id]
                          { node.agent.on_engine_unreachable(id); });
            continue;
        }
        state::engine_inventory inventory;
        inventory.engine = engine.id;
        inventory.incarnation = engine.incarnation;
        inventory.checks_fence = engine.checks_fence;
        inventory.capacity_bytes = engine.capacity;
        inventory.used_bytes = engine.used();
        inventory.fence = engine.fence;
        for (const auto& [key, item] : engine.resident)
            inventory.resident.push_back(item);
        for (const auto& [id, status] : engine.orders)
            inventory.orders.push_back({id, status});
        this->at_node(
            node, this->random_delay(1, 20),
            [this, &node, inventory, requested = this->now]
            { node.agent.on_inventory(inventory, 1000.0, requested, this->now); });
    }
}

} // namespace placement_test
