#include "at_most_once_harness.hpp"

#include "protocol/issued_key.hpp"
#include "state/log.hpp"

#include <algorithm>

namespace pomelorouter::test
{

using app::claim_reply;
using coordination::claim_answer;
using coordination::idempotency_action;
using coordination::local_key_state;
using coordination::process_state;

namespace
{

constexpr std::size_t node_count = 3;
constexpr state::milliseconds step_time{20};
constexpr std::size_t retained_records = 12;
constexpr state::milliseconds answer_delay{40};
constexpr state::milliseconds failure_delay{300};
constexpr state::milliseconds request_deadline{4000};
constexpr state::seconds entry_lifetime{1000000};

class subscription : public transport::timer_subscription
{
public:
    explicit subscription(std::shared_ptr<transport::timer_callback> kept)
        : callback(std::move(kept))
    {
    }

private:
    std::shared_ptr<transport::timer_callback> callback;
};

} // namespace

std::unique_ptr<transport::timer_subscription>
virtual_timers::every(state::milliseconds period, boost::asio::any_io_executor /*target*/,
                      transport::timer_callback callback)
{
    auto kept = std::make_shared<transport::timer_callback>(std::move(callback));
    this->entries.push_back({this->time + period, kept, period});
    return std::make_unique<subscription>(kept);
}

std::unique_ptr<transport::timer_subscription>
virtual_timers::after(state::milliseconds delay, boost::asio::any_io_executor /*target*/,
                      transport::timer_callback callback)
{
    auto kept = std::make_shared<transport::timer_callback>(std::move(callback));
    this->entries.push_back({this->time + delay, kept, state::milliseconds(0)});
    return std::make_unique<subscription>(kept);
}

void virtual_timers::advance(state::milliseconds step)
{
    this->time += step;
    std::vector<entry> due;
    const auto split =
        std::stable_partition(this->entries.begin(), this->entries.end(),
                              [&](const entry& item) { return item.at > this->time; });
    due.assign(split, this->entries.end());
    this->entries.erase(split, this->entries.end());
    for (const entry& item : due)
    {
        const auto callback = item.callback.lock();
        if (!callback)
            continue;
        if (item.period > state::milliseconds(0))
            this->entries.push_back({this->time + item.period, callback, item.period});
        (*callback)(this->time);
    }
}

namespace
{

/// Adds settings and the list of nodes to the snapshot of a node.
class settings_source : public app::control_component
{
public:
    void contribute(state::node_view& view) override
    {
        auto settings = std::make_shared<state::settings>();
        settings->attributes.set(state::attribute::snapshot_records, 5);
        view.current_settings = settings;
        for (std::size_t i = 0; i < node_count; ++i)
            view.nodes.emplace_back().id = "n" + std::to_string(i);
    }
};

} // namespace

/// One node process: the real claims component and idempotency decisions, driven by
/// steps.
class at_most_once_harness::node : public app::platform_port
{
public:
    node(at_most_once_harness& harness, std::size_t number, std::uint64_t incarnation)
        : owner(harness),
          index(number),
          identity{"n" + std::to_string(number), incarnation, "z", "", ""},
          events(identity.id, incarnation, 16),
          control(harness.loop.get_executor(), harness.timers, counters),
          claims(
              identity, control, *this, harness.timers, harness.loop.get_executor(),
              [&harness]
              {
                  return std::chrono::duration_cast<state::seconds>(
                             harness.timers.now().time_since_epoch())
                      .count();
              },
              events, counters)
    {
        this->control.add(this->settings);
        this->control.add(this->claims);
        this->control.start();
        this->claims.start();
    }
    ~node() override { *this->alive = false; }
    node(const node&) = delete;
    node& operator=(const node&) = delete;

    void append(std::string /*stream*/, std::string data,
                app::append_callback done) override
    {
        this->owner.append(std::move(data), std::move(done), this->alive);
    }
    void follow(std::string /*stream*/, std::uint64_t from) override
    {
        this->position = from;
    }

    void read_log()
    {
        if (this->owner.reads_stalled[this->index] || this->owner.log_down)
            return;
        if (this->position < this->owner.log_first())
        {
            this->position = this->owner.log_first();
            this->claims.on_truncated({"claims", this->position});
        }
        app::stream_page event;
        event.stream = "claims";
        event.page.next = this->owner.log.size();
        for (; this->position < this->owner.log.size(); ++this->position)
            event.page.records.push_back(
                {this->position, this->owner.log[this->position]});
        this->claims.on_page(event);
    }
    void step(sent_request& item);
    void take(const std::shared_ptr<sent_request>& item)
    {
        this->own_requests.push_back(item);
    }
    void step_all()
    {
        const auto copy = this->own_requests;
        for (const auto& item : copy)
        {
            if (item->result.empty())
                this->step(*item);
        }
        std::erase_if(this->own_requests,
                      [](const auto& item) { return !item->result.empty(); });
    }

    std::vector<std::shared_ptr<sent_request>> own_requests;

private:
    void end(sent_request& item, const std::string& result, protocol::run_state run)
    {
        item.result = result;
        item.run = run;
    }
    void decide(sent_request& item);
    void start_claim(sent_request& item, const std::string& id, const std::string& hash);
    void answer(sent_request& item);
    process_state state_of(const std::string& name, std::uint64_t incarnation) const;
    std::string id_of(const sent_request& item) const
    {
        return protocol::hash_key("s", item.key);
    }

    at_most_once_harness& owner;
    std::size_t index;
    app::node_identity identity;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
    state::counter_registry counters;
    state::event_log events;
    app::control_loop control;
    settings_source settings;
    app::claims_component claims;
    coordination::key_table keys;
    std::uint64_t position = 0;
};

process_state at_most_once_harness::node::state_of(const std::string& name,
                                                   std::uint64_t incarnation) const
{
    if (name == this->identity.id)
        return incarnation == this->identity.incarnation ? process_state::self
                                                         : process_state::dead;
    return this->owner.is_up(static_cast<std::size_t>(name[1] - '0'))
               ? process_state::alive
               : process_state::dead;
}

void at_most_once_harness::node::start_claim(sent_request& item, const std::string& id,
                                             const std::string& hash)
{
    this->keys.add(id, hash, local_key_state::claiming,
                   this->owner.timers.now() + entry_lifetime);
    item.waits_for_claim = true;
    item.give_up_at = this->owner.timers.now() + request_deadline;
    if (this->owner.chance(this->owner.faults.give_up))
        item.give_up_at = this->owner.timers.now() + step_time * 2;
    // A late reply to a request that has given up is discarded, as in the real node.
    auto slot = std::make_shared<std::optional<claim_reply>>();
    std::weak_ptr<sent_request> waiting;
    for (const auto& other : this->own_requests)
    {
        if (other.get() == &item)
            waiting = other;
    }
    this->claims.claim(id, hash,
                       [waiting](const claim_reply& reply)
                       {
                           const auto target = waiting.lock();
                           if (target && target->waits_for_claim)
                               target->reply = reply;
                       });
}

void at_most_once_harness::node::step(sent_request& item)
{
    const std::string id = this->id_of(item);
    if (item.forwarded_request)
    {
        if (!item.forwarded_request->result.empty())
            this->end(item,
                      item.forwarded_request->result == "killed"
                          ? "outcome_unknown"
                          : item.forwarded_request->result,
                      item.forwarded_request->run);
        return;
    }
    if (item.answer_at)
    {
        if (this->owner.timers.now() >= *item.answer_at)
            this->answer(item);
        return;
    }
    if (item.waits_for_claim && !item.reply)
    {
        if (this->owner.timers.now() < item.give_up_at)
            return;
        item.waits_for_claim = false;
        this->claims.withdraw(id);
        this->keys.remove(id);
        this->end(item, "log_unavailable", protocol::run_state::not_run);
        return;
    }
    this->decide(item);
}

void at_most_once_harness::node::decide(sent_request& item)
{
    const std::string id = this->id_of(item);
    coordination::idempotency_input input;
    input.request = protocol::hash_request("POST", "/", item.body);
    input.forwarded = item.forwarded;
    if (item.waits_for_claim)
    {
        item.waits_for_claim = false;
        input.answer = item.reply->answer;
        input.held = item.reply->held;
        input.failure = item.reply->failure;
        item.reply.reset();
        if (input.held)
            input.holder = this->state_of(input.held->writer, input.held->incarnation);
        if (input.answer != claim_answer::granted)
            this->keys.remove(id);
    }
    if (const auto* entry = this->keys.find(id))
    {
        input.local = entry->state;
        input.local_request = entry->request;
        input.local_body_kept = entry->body_kept;
    }
    const auto decision = coordination::decide_idempotency(input);
    switch (decision.action)
    {
    case idempotency_action::run:
        this->keys.set_running(id);
        item.holds_claim = true;
        item.answer_at = this->owner.timers.now() +
                         step_time * static_cast<int>(1 + this->owner.random() % 20);
        if (!this->owner.chance(this->owner.faults.backend_refused))
        {
            item.ran = true;
            ++this->owner.runs[item.key];
        }
        break;
    case idempotency_action::claim_first:
        this->start_claim(item, id, input.request);
        break;
    case idempotency_action::wait_local:
        break;
    case idempotency_action::replay_local:
    case idempotency_action::replay_recorded:
        this->end(item, "replayed", protocol::run_state::run);
        break;
    case idempotency_action::forward:
        item.forwarded_request =
            this->owner.send(static_cast<std::size_t>(input.held->writer[1] - '0'),
                             item.key, item.body, true);
        break;
    case idempotency_action::refuse:
        this->end(item, std::string(to_string(decision.refusal.code)),
                  decision.refusal.run);
        break;
    }
}

void at_most_once_harness::node::answer(sent_request& item)
{
    const std::string id = this->id_of(item);
    protocol::key_outcome outcome = protocol::make_done_outcome(id, 200, "t", "ok");
    if (!item.ran)
    {
        outcome = {id, protocol::outcome_result::not_run, 0, "", "", false};
        this->claims.record(outcome);
        this->keys.remove(id);
        this->end(item, "refused_by_backend", protocol::run_state::not_run);
        return;
    }
    if (this->owner.chance(this->owner.faults.backend_lost))
    {
        outcome = {id, protocol::outcome_result::unknown, 0, "", "", false};
        this->claims.record(outcome);
        this->keys.set_lost(id);
        this->end(item, "connection_lost", protocol::run_state::unknown);
        return;
    }
    this->claims.record(outcome);
    this->keys.finish(id, {200, "t", "ok"});
    this->end(item, "ran", protocol::run_state::run);
}

at_most_once_harness::at_most_once_harness(std::uint64_t seed, const fault_plan& plan)
    : random(seed), faults(plan), reads_stalled(node_count, false), nodes(node_count)
{
    // Log lines of thousands of steps would bury the report of a failed check.
    state::init_logging("test", state::log_level::error);
    for (std::size_t i = 0; i < node_count; ++i)
        this->start(i);
    this->step();
}

at_most_once_harness::~at_most_once_harness() = default;

std::shared_ptr<sent_request> at_most_once_harness::send(std::size_t target,
                                                         const std::string& key,
                                                         const std::string& body,
                                                         bool forwarded)
{
    auto item = std::make_shared<sent_request>();
    item->node = target;
    item->key = key;
    item->body = body;
    item->forwarded = forwarded;
    this->sent_requests.push_back(item);
    if (this->is_up(target))
        this->nodes[target]->take(item);
    else
        item->result = "killed";
    return item;
}

void at_most_once_harness::step()
{
    this->timers.advance(step_time);
    for (auto item = this->scheduled.begin(); item != this->scheduled.end();)
    {
        if (item->at > this->timers.now())
        {
            ++item;
            continue;
        }
        const auto run = std::move(item->run);
        item = this->scheduled.erase(item);
        run();
    }
    for (const auto& item : this->nodes)
    {
        if (!item)
            continue;
        item->read_log();
        item->step_all();
    }
}

bool at_most_once_harness::finish(const sent_request& item, state::milliseconds limit)
{
    const auto end = this->timers.now() + limit;
    while (item.result.empty() && this->timers.now() < end)
        this->step();
    return !item.result.empty();
}

void at_most_once_harness::kill(std::size_t target)
{
    for (const auto& item : this->nodes[target]->own_requests)
        item->result = "killed";
    this->nodes[target].reset();
}

void at_most_once_harness::start(std::size_t target)
{
    this->nodes[target] = std::make_unique<node>(*this, target, this->next_incarnation++);
}

bool at_most_once_harness::is_up(std::size_t target) const
{
    return this->nodes[target] != nullptr;
}

bool at_most_once_harness::chance(int per_thousand)
{
    return static_cast<int>(this->random() % 1000) < per_thousand;
}

std::size_t at_most_once_harness::log_first() const
{
    const bool keeps_all = !this->faults.truncates || this->log.size() < retained_records;
    return keeps_all ? 0 : this->log.size() - retained_records;
}

void at_most_once_harness::append(std::string data, app::append_callback done,
                                  const std::shared_ptr<bool>& alive)
{
    const auto reply = [&](state::milliseconds delay, const app::append_result& result)
    {
        this->scheduled.push_back({this->timers.now() + delay, [done, result, alive]
                                   {
                                       if (*alive)
                                           done(result);
                                   }});
    };
    app::append_result result;
    if (!this->log_down && this->chance(this->faults.rejected))
    {
        result.failure = state::error(state::error_code::connect_failed, "log", "");
        reply(answer_delay, result);
        return;
    }
    result.failure = state::error(state::error_code::log_unavailable, "log", "");
    if (this->log_down)
    {
        reply(failure_delay, result);
        return;
    }
    if (this->chance(this->faults.late_append))
    {
        const state::milliseconds delay(this->random() % 2000);
        this->scheduled.push_back(
            {this->timers.now() + delay, [this, data] { this->log.push_back(data); }});
        reply(failure_delay, result);
        return;
    }
    this->log.push_back(std::move(data));
    if (this->lose_next_answer || this->chance(this->faults.lost_answer))
    {
        this->lose_next_answer = false;
        reply(failure_delay, result);
        return;
    }
    result.failure.reset();
    result.offset = this->log.size() - 1;
    reply(answer_delay, result);
}

} // namespace pomelorouter::test
