#include "coordination/room_policy.hpp"

#include <doctest/doctest.h>

#include <algorithm>
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
