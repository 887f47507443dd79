#include "coordination/queue_forecast.hpp"
#include "coordination/room_policy.hpp"
#include "coordination/weight_demand.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <string>
#include <vector>

namespace
{

using namespace pomelorouter; // NOLINT(google-build-using-namespace): test file
using namespace coordination; // NOLINT(google-build-using-namespace): test file
using state::milliseconds;

struct route_row
{
    const char* service;
    int priority;
    int target_ms;
};

state::gateway_config config_of(const std::vector<route_row>& rows)
{
    state::gateway_config result;
    result.requires_keys = true;
    for (const route_row& row : rows)
    {
        state::gateway_route route;
        route.priority = row.priority;
        route.target_latency = milliseconds(row.target_ms);
        route.services = {{row.service, 1.0}};
        result.routes.push_back(route);
    }
    return result;
}

room_class class_of(const state::gateway_config& config, int rank, int target_ms)
{
    return classify_request(config, "models", rank, milliseconds(target_ms));
}

constexpr double idle_ms = 150.0;

} // namespace

// Guards against patient requests that fill the queues of engines, so that urgent ones
// miss their targets.
TEST_CASE("less urgent requests leave room for more urgent ones")
{
    const auto config = config_of({{"models", 0, 800},
                                   {"models", 1, 2000},
                                   {"models", 2, 15000},
                                   {"plain", 0, 50}});
    const room_class urgent = class_of(config, 0, 800);
    const room_class streams = class_of(config, 1, 2000);
    const room_class patient = class_of(config, 2, 15000);
    CHECK(urgent.more_urgent_ranks == 0);
    CHECK(patient.more_urgent_ranks == 2);
    // The target of another service is none of its urgent targets.
    CHECK(patient.urgent_target_ms == 800.0);

    const double urgent_limit = queue_limit_ms(urgent, 0.0, idle_ms);
    const double stream_limit = queue_limit_ms(streams, 0.0, idle_ms);
    const double patient_limit = queue_limit_ms(patient, 0.0, idle_ms);
    CHECK(urgent_limit > stream_limit);
    CHECK(stream_limit > patient_limit);
    CHECK(urgent_limit + idle_ms < 800.0);
    // An urgent request behind the patient ones still meets its target.
    CHECK(patient_limit + 2 * idle_ms < 800.0);
    // A patient request may always follow a single prompt, so it does not starve.
    CHECK(patient_limit >= idle_ms);
}

// Guards against patient requests that wait until they are late, and against urgent ones
// that are sent to queues in which they become late.
TEST_CASE("the limit follows the time that is left until the target")
{
    const auto config = config_of({{"models", 0, 800}, {"models", 2, 15000}});
    const room_class urgent = class_of(config, 0, 800);
    const room_class patient = class_of(config, 2, 15000);
    double before = 0.0;
    for (double waited = 0.0; waited <= 14000.0; waited += 1000.0)
    {
        const double limit = queue_limit_ms(patient, waited, idle_ms);
        CHECK(limit >= before);
        before = limit;
    }
    CHECK(before > 1.5 * queue_limit_ms(patient, 0.0, idle_ms));
    // Beyond the target it gets only what others leave.
    CHECK(queue_limit_ms(patient, 16000.0, idle_ms) <=
          queue_limit_ms(patient, 0.0, idle_ms));
    CHECK(queue_limit_ms(patient, 16000.0, idle_ms) >= idle_ms);

    CHECK(queue_limit_ms(urgent, 300.0, idle_ms) + idle_ms + 300.0 < 800.0);
    CHECK(queue_limit_ms(urgent, 900.0, idle_ms) < queue_limit_ms(urgent, 0.0, idle_ms));
}

// Guards against a change of services whose requests do not compete by rank.
TEST_CASE("requests of services with one rank have constant limits")
{
    const auto config = config_of(
        {{"models", 3, 800}, {"models", 3, 2000}, {"other", 0, 100}, {"other", 1, 9}});
    const room_class request = class_of(config, 3, 800);
    CHECK_FALSE(request.is_ranked);
    CHECK(queue_limit_ms(request, 0.0, idle_ms) == 450.0);
    CHECK(queue_limit_ms(request, 640.0, idle_ms) == 450.0);
    CHECK(queue_limit_ms(request, 700.0, idle_ms) == 300.0);
}

// Guards against limits that stop requests: any target, prompt and wait must leave an
// engine that serves one prompt usable.
TEST_CASE("a limit is never below one prompt or above that of one rank")
{
    for (const int target : {1, 100, 800, 3000, 60000})
    {
        const auto config =
            config_of({{"models", 0, target}, {"models", 1, 1}, {"models", 9, 1000}});
        for (const int rank : {0, 1, 9, 20})
        {
            for (const double idle : {0.0, 30.0, 400.0, 5000.0})
            {
                for (const double waited : {0.0, 500.0, 100000.0})
                {
                    CAPTURE(target);
                    CAPTURE(rank);
                    CAPTURE(idle);
                    CAPTURE(waited);
                    const double limit =
                        queue_limit_ms(class_of(config, rank, target), waited, idle);
                    CHECK(limit >= std::min(idle, 450.0));
                    CHECK(limit <= 450.0);
                }
            }
        }
    }
}

// Guards against services without competing teams that are served in another way than by
// the queue of each gateway.
TEST_CASE("without teams only the own queue counts")
{
    auto config = config_of({{"models", 0, 800}, {"models", 2, 15000}});
    config.requires_keys = false;
    room_request request;
    request.urgency = class_of(config, 2, 15000);
    CHECK(queue_limit_ms(request.urgency, 0.0, 145.0) == 450.0);
    CHECK(queue_limit_ms(request.urgency, 15000.0, 145.0) == 300.0);
    request.left_ms = 20000.0;
    request.idle_ms = 145.0;
    request.queue_ms = 440.0;
    request.interval_ms = 30.0;
    request.model = {0.0, 60000.0, 4};
    request.service = request.model;
    CHECK(decide_room(request, 0.99).action == room_action::send);
    // A long wait is no reason to refuse while the deadline can be met.
    request.queue_ms = 460.0;
    CHECK(decide_room(request, 0.99).action == room_action::hold);
}

// Guards against late and patient prompts that preempt streams in the middle.
TEST_CASE("the priority at an engine follows rank and urgency")
{
    CHECK(engine_priority(0, false, false) == 0);
    CHECK(engine_priority(0, true, false) == 1);
    CHECK(engine_priority(2, false, true) == 1);
    CHECK(engine_priority(2, true, true) == 1);
    CHECK(engine_priority(0, true, true) == 0);
    CHECK(engine_priority(9, true, false) == 9);
    CHECK(engine_priority(40, false, false) == 9);
}

// Each row is one input that decides: the others leave an idle engine and no rivals.
TEST_CASE("a request is sent, held or refused by what waits before it")
{
    struct row
    {
        std::string name;
        double waited_ms;
        double left_ms;
        double queue_ms;
        bool is_next;
        double others_ms;
        double draw;
        room_action action;
        refusal_reason reason;
    };
    using enum room_action;
    using enum refusal_reason;
    const std::vector<row> rows{
        {"idle engine", 0, 5000, 0, true, 0, 0.99, send, none},
        {"another precedes it", 0, 5000, 0, false, 0, 0.0, hold, none},
        {"queue at the limit", 0, 5000, 450, true, 0, 0.99, send, none},
        {"queue too long", 0, 5000, 470, true, 0, 0.0, hold, none},
        {"all that wait fit", 0, 5000, 0, true, 1500, 0.99, send, none},
        {"its share of the room", 0, 5000, 300, true, 1000, 0.05, send, none},
        {"the room of another", 0, 5000, 300, true, 1000, 0.99, hold, none},
        {"late without rivals", 900, 4100, 400, true, 0, 0.99, hold, none},
        {"late with rivals", 900, 4100, 400, true, 1800, 0.99, refuse, target},
        {"would be late", 0, 5000, 300, true, 4000, 0.99, refuse, target},
        {"late, but its turn comes", 900, 4100, 150, true, 100, 0.99, hold, none},
        {"no time left", 0, 500, 470, true, 0, 0.0, refuse, deadline},
    };
    const auto config = config_of({{"models", 0, 800}, {"models", 2, 15000}});
    for (const row& item : rows)
    {
        CAPTURE(item.name);
        room_request request;
        request.urgency = class_of(config, 0, 800);
        request.waited_ms = item.waited_ms;
        request.left_ms = item.left_ms;
        request.idle_ms = 145.0;
        request.queue_ms = item.queue_ms;
        request.is_next = item.is_next;
        request.model = {0.0, item.others_ms, 4};
        request.service = {0.0, item.others_ms, 60};
        request.interval_ms = 30.0;
        const room_decision decision = decide_room(request, item.draw);
        CHECK(to_string(decision.action) == to_string(item.action));
        CHECK(to_string(decision.reason) == to_string(item.reason));
    }
}

// Guards against requests for rare models that wait or are refused because of those for
// models on other engines.
TEST_CASE("work that waits for other models counts only where their engines are shared")
{
    const auto config = config_of({{"models", 0, 800}, {"models", 2, 15000}});
    room_request request;
    request.urgency = class_of(config, 0, 800);
    request.left_ms = 5000.0;
    request.idle_ms = 145.0;
    request.interval_ms = 30.0;
    request.service = {0.0, 90000.0, 60};
    CHECK(decide_room(request, 0.99).action == room_action::send);
    request.queue_ms = 200.0;
    CHECK(decide_room(request, 0.99).action == room_action::refuse);
}

// Guards against callers that are all sent back to the same moment, and against times
// that callers do not honour.
TEST_CASE("refused callers return over the time for which they would wait")
{
    CHECK(retry_after_ms(500.0, 6000.0, 0.0) == 500.0);
    CHECK(retry_after_ms(500.0, 6000.0, 1.0) == 2000.0);
    CHECK(retry_after_ms(90000.0, 6000.0, 0.0) == 1000.0);
    CHECK(retry_after_ms(90000.0, 6000.0, 1.0) == 2000.0);
    CHECK(retry_after_ms(0.0, 60.0, 0.5) == 200.0);
}

// Guards against gateways that all choose the engine that was idle 0.4 s ago.
TEST_CASE("engines are chosen so that the prompts of all gateways level their queues")
{
    const auto count = [](const std::vector<queue_option>& options)
    {
        std::vector<int> result(options.size());
        for (int i = 0; i < 100; ++i)
            ++result[choose_by_queue(options, 100.0, i / 100.0).chosen];
        return result;
    };
    // 400 ms of work arrive: the level is 300 ms, and the last engine is above it.
    CHECK(count({{100.0, 0.5}, {200.0, 0.25}, {300.0, 0.0}, {500.0, 0.0}}) ==
          std::vector<int>{67, 33, 0, 0});
    const auto forecast = choose_by_queue({{100.0, 1.0}, {100.0, 1.0}}, 100.0, 0.0);
    CHECK(forecast.change_ms == doctest::Approx(0.0));
    // Without reports of other gateways the shortest queue is the right one.
    const auto alone = choose_by_queue({{90.0, 0.0}, {20.0, 0.0}}, 100.0, 0.9);
    CHECK(alone.chosen == 1);
    CHECK(alone.change_ms == 0.0);
}

// Guards against requests that are counted twice, kept after their gateway has ended, or
// mixed up between models.
TEST_CASE("waiting prompt tokens of other gateways are added up by model and service")
{
    const state::time_point start{state::seconds(100)};
    weight_demand demand;
    demand.on_queued({"s", "m1", "a1"}, 0, 700);
    demand.on_queued({"s", "m1", ""}, 2, 300);
    demand.on_queue_left({"s", "m1", ""}, 2, 300);
    CHECK(demand.own_rates(start).at({"s", "m1", "a1"}).queued_tokens == 700);
    CHECK(demand.own_rates(start).count({"s", "m1", ""}) == 0);

    const auto report = [](const char* model, std::size_t rank, std::uint32_t tokens)
    {
        weight_rate rate;
        rate.queued_tokens = tokens;
        rate.queued_by_rank[rank] = tokens;
        return weight_demand::rates{{{"s", model, ""}, rate}};
    };
    const report_source first{protocol::load_scope::gateway, "g1"};
    const report_source other_zone{protocol::load_scope::zone, "z2"};
    demand.set_peer(start, first, report("m1", 0, 1000));
    demand.set_peer(start, other_zone, report("m2", 1, 500));
    const queued_tokens queued = demand.peer_queue(start, "s", "m1");
    CHECK(queued.model[0] == 1000);
    CHECK(queued.model[1] == 0);
    CHECK(queued.service[1] == 500);
    CHECK(demand.peer_queue(start, "t", "m1").service[0] == 0);
    CHECK(demand.zone_queues(start).at({"s", "m1"})[0] == 1700);
    CHECK(demand.zone_queues(start).count({"s", "m2"}) == 0);
    CHECK(demand.all_queues(start).at({"s", "m2"})[1] == 500);
    CHECK(demand.queues_of(start, first)->at({"s", "m1"})[0] == 1000);
    const state::time_point later = start + state::seconds(3);
    CHECK(demand.peer_queue(later, "s", "m1").service[0] == 0);
    CHECK(demand.queues_of(later, first) == nullptr);
}

// Guards against a patient request of one team that goes before an urgent one of another
// with the same priority, and against a route that outranks the priority of a team.
TEST_CASE("the priority of a team precedes that of the route")
{
    CHECK(coordination::request_rank(std::nullopt, 2) == 2);
    CHECK(coordination::request_rank(1, 0) < coordination::request_rank(1, 2));
    CHECK(coordination::request_rank(0, 9) < coordination::request_rank(1, 0));
}
