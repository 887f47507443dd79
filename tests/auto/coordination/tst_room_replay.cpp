#include "coordination/admission_queue.hpp"
#include "coordination/queue_forecast.hpp"
#include "coordination/random_source.hpp"
#include "coordination/room_policy.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <list>
#include <string>
#include <utility>
#include <vector>

// Replays load in virtual time: gateways that know the queues of the engines and of one
// another with a delay decide which requests they send.

namespace
{

using namespace pomelorouter; // NOLINT(google-build-using-namespace): test file
using namespace coordination; // NOLINT(google-build-using-namespace): test file
using state::milliseconds;
using state::time_point;

constexpr std::size_t gateway_count = 91;
constexpr std::size_t engine_count = 60;
constexpr std::size_t model_count = 20;
constexpr std::size_t rank_count = 3;
constexpr double prompt_ms = 100.0;
constexpr double idle_ms = 125.0;
constexpr int tick_ms = 10;
constexpr int decision_ms = 30;
constexpr double inflow_window_ms = 1500.0;
/// The figures of other gateways are from so many reports ago.
constexpr int report_ms = 100;
constexpr std::size_t report_delay = 4;
constexpr int burst_from_ms = 4000;
constexpr int burst_to_ms = 7000;
constexpr int arrivals_end_ms = 15000;
constexpr int end_ms = 40000;

struct request_kind
{
    int rank;
    int target_ms;
    int time_ms;
    /// Requests per second outside the burst, and factor during the burst.
    double per_s;
    double burst;
};

struct kind_result
{
    int asked = 0;
    int in_time = 0;
    int late = 0;
    int refused = 0;
    int refused_again = 0;

    double in_time_share() const { return 1.0 * this->in_time / this->asked; }
    double served_share() const
    {
        return 1.0 * (this->in_time + this->late) / this->asked;
    }
};

/// What the compared rules know: the ranks of requests, and the requests that wait at
/// other gateways.
struct known_facts
{
    bool ranks = false;
    bool fleet_queue = false;
    /// Prompts that other gateways send meanwhile.
    bool inflow = false;
};

struct waiting_request
{
    std::size_t kind = 0;
    std::size_t gateway = 0;
    std::size_t model = 0;
    int asked_ms = 0;
    int arrived_ms = 0;
    int due_ms = 0;
    bool is_back = false;
    admission_queue::ticket ticket = 0;
    std::size_t queued_as = rank_count + 1;
};

/// Calls and waiting requests of one gateway.
struct gateway_figures
{
    std::array<double, engine_count> sent_ms{};
    /// Engine time of the prompts sent, per time.
    std::array<double, engine_count> inflow{};
    std::array<std::array<double, rank_count + 1>, model_count> queued_ms{};
};

/// Figures of all gateways, and their sum.
struct fleet_figures
{
    std::array<gateway_figures, gateway_count> gateways{};
    gateway_figures sum{};
};

class fleet_replay
{
public:
    fleet_replay(std::vector<request_kind> request_kinds, known_facts facts,
                 std::uint64_t seed)
        : kinds(std::move(request_kinds)),
          known(facts),
          random(seed),
          results(this->kinds.size())
    {
        state::gateway_config config;
        config.requires_keys = this->known.ranks;
        for (const request_kind& kind : this->kinds)
        {
            state::gateway_route& route = config.routes.emplace_back();
            route.priority = this->known.ranks ? kind.rank : 0;
            route.target_latency = milliseconds(kind.target_ms);
            route.services = {{"models", 1.0}};
        }
        for (const state::gateway_route& route : config.routes)
        {
            this->classes.push_back(
                classify_request(config, "models", route.priority, route.target_latency));
        }
    }

    std::vector<kind_result> run()
    {
        for (this->now = 0; this->now < end_ms; this->now += tick_ms)
        {
            this->finish_calls();
            for (double& inflow : this->current.sum.inflow)
                inflow *= std::exp(-tick_ms / inflow_window_ms);
            if (this->now % report_ms == 0)
            {
                this->reports.push_back(this->current);
                if (this->reports.size() > report_delay)
                    this->reports.pop_front();
            }
            for (std::size_t kind = 0; kind < this->kinds.size(); ++kind)
                this->add_arrivals(kind);
            for (auto item = this->requests.begin(); item != this->requests.end();)
            {
                const bool is_over = item->due_ms <= this->now && this->decide(*item);
                item = is_over ? this->requests.erase(item) : std::next(item);
            }
        }
        return this->results;
    }

private:
    static bool holds(std::size_t engine, std::size_t model)
    {
        return engine % model_count == model ||
               (engine * 7 + engine / model_count + 1) % model_count == model;
    }

    void add_arrivals(std::size_t kind)
    {
        const request_kind& item = this->kinds[kind];
        const bool is_burst = this->now >= burst_from_ms && this->now < burst_to_ms;
        const double mean = item.per_s * (is_burst ? item.burst : 1.0) * tick_ms / 1000.0;
        // Ten draws approximate a Poisson distribution.
        for (int i = 0; this->now < arrivals_end_ms && i < 10; ++i)
        {
            if (this->random.unit() >= mean / 10.0)
                continue;
            ++this->results[kind].asked;
            this->requests.push_back({kind, this->random.below(gateway_count),
                                      this->random.below(model_count), this->now,
                                      this->now, this->now, false});
        }
    }

    void finish_calls()
    {
        const auto is_done = [this](const auto& call)
        {
            if (call.end_ms > this->now)
                return false;
            this->add_sent(call.gateway, call.engine, -prompt_ms);
            return true;
        };
        this->calls.remove_if(is_done);
    }

    /// Changes the figures of a gateway, and with them the sum.
    void add_sent(std::size_t gateway, std::size_t engine, double ms)
    {
        this->current.gateways[gateway].sent_ms[engine] += ms;
        this->current.sum.sent_ms[engine] += ms;
    }

    void add_queued(const waiting_request& item, std::size_t urgency, double ms)
    {
        this->current.gateways[item.gateway].queued_ms[item.model][urgency] += ms;
        this->current.sum.queued_ms[item.model][urgency] += ms;
    }

    double queue_ms(std::size_t gateway, std::size_t engine) const
    {
        const fleet_figures& known_figures = this->reports.front();
        return this->current.gateways[gateway].sent_ms[engine] +
               known_figures.sum.sent_ms[engine] -
               known_figures.gateways[gateway].sent_ms[engine];
    }

    /// Work that precedes a request of `urgency` of the gateway, for one model or all.
    waiting_work work_ahead(const waiting_request& item, std::size_t urgency,
                            bool is_any_model, double own_ms) const
    {
        waiting_work result;
        result.own_ms = own_ms;
        result.engines = is_any_model ? engine_count : 2 * engine_count / model_count;
        const fleet_figures& known_figures = this->reports.front();
        const auto& own = known_figures.gateways[item.gateway].queued_ms;
        for (std::size_t model = 0; this->known.fleet_queue && model < model_count;
             ++model)
        {
            for (std::size_t i = 0; i <= urgency; ++i)
            {
                if (is_any_model || model == item.model)
                    result.others_ms +=
                        known_figures.sum.queued_ms[model][i] - own[model][i];
            }
        }
        return result;
    }

    time_point time_of(double ms) const
    {
        return time_point(state::seconds(100)) + milliseconds(static_cast<int>(ms));
    }

    struct engine_choice
    {
        std::size_t engine = 0;
        double queue_ms = 0.0;
    };

    engine_choice choose_engine(const waiting_request& item)
    {
        std::vector<queue_option> options;
        std::vector<engine_choice> engines;
        for (std::size_t engine = 0; engine < engine_count; ++engine)
        {
            if (!holds(engine, item.model))
                continue;
            const double queue = this->queue_ms(item.gateway, engine);
            engines.push_back({engine, queue});
            const double inflow =
                this->known.inflow ? this->reports.front().sum.inflow[engine] : 0.0;
            options.push_back({queue + 2.0 * this->random.unit(), inflow});
        }
        const queue_forecast forecast =
            choose_by_queue(options, prompt_ms, this->random.unit());
        engine_choice& result = engines[forecast.chosen];
        result.queue_ms =
            std::max(result.queue_ms + forecast.change_ms,
                     this->current.gateways[item.gateway].sent_ms[result.engine]);
        return result;
    }

    /// Returns whether the request was sent, or refused for the last time.
    bool decide(waiting_request& item)
    {
        const request_kind& kind = this->kinds[item.kind];
        admission_queue& queue = this->queues[item.gateway];
        const engine_choice chosen = this->choose_engine(item);
        if (item.ticket == 0)
        {
            item.ticket = queue.enter(
                {std::to_string(item.model), this->known.ranks ? kind.rank : 0,
                 this->time_of(item.arrived_ms),
                 this->time_of(item.arrived_ms + kind.target_ms - idle_ms), idle_ms});
        }
        // A caller that returns after a refusal has less time left.
        const bool is_late = !queue.is_in_time(this->time_of(this->now), item.ticket);
        const std::size_t urgency =
            is_late ? rank_count : static_cast<std::size_t>(kind.rank);
        room_request request;
        request.urgency = this->classes[item.kind];
        request.waited_ms = this->now - item.arrived_ms;
        request.left_ms = item.asked_ms + kind.time_ms - this->now;
        request.idle_ms = idle_ms;
        request.queue_ms = chosen.queue_ms;
        request.is_next = queue.is_next(this->time_of(this->now), item.ticket);
        request.interval_ms = decision_ms;
        const double own_ms = queue.work_ahead_ms(this->time_of(this->now), item.ticket);
        request.model = this->work_ahead(item, urgency, false, own_ms);
        request.service = this->work_ahead(item, urgency, true, own_ms);
        if (!this->known.fleet_queue)
            request.model.others_ms = own_ms * (gateway_count - 1);
        const room_decision decision = decide_room(request, this->random.unit());
        this->set_queued(item, decision.action == room_action::hold, urgency);
        item.due_ms = this->now + decision_ms;
        if (decision.action == room_action::hold)
            return false;
        queue.leave(item.ticket);
        item.ticket = 0;
        if (decision.action == room_action::send)
        {
            this->send(item, chosen.engine);
            return true;
        }
        ++(item.is_back ? this->results[item.kind].refused_again
                        : this->results[item.kind].refused);
        const double retry_ms =
            this->known.fleet_queue
                ? retry_after_ms(decision.wait_ms, request.left_ms, this->random.unit())
                : std::clamp(decision.wait_ms / 2.0, 200.0,
                             std::max(request.left_ms / 3.0, 200.0)) *
                      (0.75 + 0.5 * this->random.unit());
        item.due_ms = this->now + static_cast<int>(retry_ms);
        item.arrived_ms = item.due_ms;
        item.gateway = this->random.below(gateway_count);
        return std::exchange(item.is_back, true);
    }

    /// Counts a request that waits among those of its model and urgency.
    void set_queued(waiting_request& item, bool waits, std::size_t urgency)
    {
        if (item.queued_as <= rank_count)
            this->add_queued(item, item.queued_as, -idle_ms);
        item.queued_as = waits ? urgency : rank_count + 1;
        if (waits)
            this->add_queued(item, urgency, idle_ms);
    }

    void send(const waiting_request& item, std::size_t engine)
    {
        const request_kind& kind = this->kinds[item.kind];
        const double start_ms = std::max<double>(this->busy_until[engine], this->now);
        this->busy_until[engine] = start_ms + prompt_ms;
        this->add_sent(item.gateway, engine, prompt_ms);
        this->current.sum.inflow[engine] += prompt_ms / inflow_window_ms;
        const double end = start_ms + idle_ms;
        this->calls.push_back({item.gateway, engine, end});
        kind_result& result = this->results[item.kind];
        if (end <= item.asked_ms + kind.target_ms)
            ++result.in_time;
        else if (end <= item.asked_ms + kind.time_ms)
            ++result.late;
    }

    struct running_call
    {
        std::size_t gateway;
        std::size_t engine;
        double end_ms;
    };

    std::vector<request_kind> kinds;
    known_facts known;
    random_source random;
    std::vector<kind_result> results;
    std::vector<room_class> classes;
    std::array<admission_queue, gateway_count> queues;
    std::array<double, engine_count> busy_until{};
    std::list<waiting_request> requests;
    std::list<running_call> calls;
    fleet_figures current{};
    std::list<fleet_figures> reports;
    int now = 0;
};

/// The rules before ranks, and the present ones with all figures and with none of other
/// gateways' queues.
constexpr known_facts no_ranks{false, false, false};
constexpr known_facts all_facts{true, true, true};
constexpr known_facts ranks_only{true, false, false};

std::vector<kind_result> replay(const std::vector<request_kind>& kinds,
                                const known_facts& facts, std::uint64_t seed)
{
    return fleet_replay(kinds, facts, seed).run();
}

/// Half of the capacity, with a burst of patient requests beyond all of it.
const std::vector<request_kind> patient_burst{{0, 800, 5000, 150.0, 1.0},
                                              {2, 15000, 20000, 150.0, 4.0}};
/// 1.3 times the capacity.
const std::vector<request_kind> overload{{0, 800, 5000, 480.0, 1.0},
                                         {2, 15000, 20000, 150.0, 1.0},
                                         {1, 2000, 15000, 150.0, 1.0}};

} // namespace

// Guards against patient requests that make urgent ones late on the same engines.
TEST_CASE("a burst of patient requests leaves room for urgent ones")
{
    for (const std::uint64_t seed : {1, 2, 3})
    {
        CAPTURE(seed);
        const auto before = replay(patient_burst, no_ranks, seed);
        const auto now = replay(patient_burst, all_facts, seed);
        const double late_before = 1.0 - before[0].in_time_share();
        CHECK(late_before > 0.1);
        CHECK(1.0 - now[0].in_time_share() < 0.5 * late_before);
        CHECK(now[1].in_time_share() > 0.95);
        CHECK(now[0].in_time_share() > now[1].in_time_share() - 0.05);
    }
}

// Guards against engine time for late answers, starved patient requests, and callers that
// come back too early.
TEST_CASE("under overload the urgent requests are served in time and none starve")
{
    for (const std::uint64_t seed : {1, 2, 3})
    {
        CAPTURE(seed);
        const auto before = replay(overload, no_ranks, seed);
        const auto now = replay(overload, all_facts, seed);
        CHECK(now[0].in_time_share() > 2.0 * before[0].in_time_share());
        CHECK(now[2].in_time_share() > before[2].in_time_share());
        double asked = 0.0;
        double served = 0.0;
        int refused = 0;
        int refused_again = 0;
        for (const kind_result& kind : now)
        {
            asked += kind.asked;
            served += kind.in_time + kind.late;
            refused += kind.refused;
            refused_again += kind.refused_again;
        }
        for (const kind_result& kind : now)
            CHECK(kind.served_share() > 0.25 * served / asked);
        CHECK(refused_again < 0.5 * refused);
    }
}

// Guards against requests that are held or refused because heartbeats are lost.
TEST_CASE("without the figures of other gateways as many requests are in time as before")
{
    for (const std::uint64_t seed : {1, 2, 3})
    {
        CAPTURE(seed);
        const auto before = replay(patient_burst, no_ranks, seed);
        const auto now = replay(patient_burst, ranks_only, seed);
        CHECK(now[0].in_time_share() > before[0].in_time_share() - 0.05);
        CHECK(now[1].in_time_share() > before[1].in_time_share() - 0.05);
    }
}
