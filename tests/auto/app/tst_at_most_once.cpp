#include "at_most_once_harness.hpp"

#include <doctest/doctest.h>

#include <functional>
#include <set>

namespace
{

using namespace pomelorouter; // NOLINT(google-build-using-namespace): test file
using test::at_most_once_harness;
using test::fault_plan;

constexpr state::milliseconds limit{10000};

using fault = std::function<void(at_most_once_harness&)>;

void wait_until(at_most_once_harness& system, const std::function<bool()>& condition)
{
    for (int i = 0; i < 500 && !condition(); ++i)
        system.step();
    REQUIRE(condition());
}

void wait_for_run(at_most_once_harness& system)
{
    wait_until(system, [&] { return system.runs["k"] == 1; });
}

void step_for_2_s(at_most_once_harness& system)
{
    for (int i = 0; i < 100; ++i)
        system.step();
}

} // namespace

// Guards against a request that runs twice, or a refusal that wrongly says whether it
// ran, when the same key is sent through another node while the first request is in any
// state.
TEST_CASE("a key sent again through another node runs at most once")
{
    struct row
    {
        const char* name;
        fault before_first;
        fault between;
        std::set<std::string> first;
        std::set<std::string> second;
        int runs;
    };
    const fault no_action = [](at_most_once_harness&) {};
    const fault wait_for_end = [](at_most_once_harness& system)
    {
        wait_until(system, [&] { return !system.sent_requests[0]->result.empty(); });
        step_for_2_s(system);
    };
    const row rows[] = {
        {"both sent at the same time",
         no_action,
         no_action,
         {"ran"},
         {"ran", "replayed"},
         1},
        {"while the first one runs", no_action, wait_for_run, {"ran"}, {"replayed"}, 1},
        {"after the first one finished",
         no_action,
         wait_for_end,
         {"ran"},
         {"replayed"},
         1},
        {"after the first one's node died while it ran",
         no_action,
         [](at_most_once_harness& system)
         {
             wait_for_run(system);
             system.kill(0);
         },
         {"killed"},
         {"outcome_unknown"},
         1},
        {"after the first one's node died and restarted",
         no_action,
         [](at_most_once_harness& system)
         {
             wait_for_run(system);
             system.kill(0);
             system.start(0);
             step_for_2_s(system);
         },
         {"killed"},
         {"outcome_unknown"},
         1},
        {"after the first one finished and its node died",
         no_action,
         [&](at_most_once_harness& system)
         {
             wait_for_end(system);
             system.kill(0);
         },
         {"ran"},
         {"replayed"},
         1},
        {"while the log is down",
         [](at_most_once_harness& system) { system.log_down = true; },
         no_action,
         {"log_unavailable"},
         {"log_unavailable"},
         0},
        {"after an append whose response was lost",
         [](at_most_once_harness& system) { system.lose_next_answer = true; },
         no_action,
         {"ran"},
         {"ran", "replayed"},
         1},
        {"after the first one timed out with its claim in the log",
         [](at_most_once_harness& system)
         {
             system.faults.give_up = 1000;
             system.reads_stalled[0] = true;
         },
         [&](at_most_once_harness& system)
         {
             wait_for_end(system);
             system.faults.give_up = 0;
             system.reads_stalled[0] = false;
             step_for_2_s(system);
         },
         {"log_unavailable"},
         {"ran"},
         1},
        {"after the backend server refused the first one",
         [](at_most_once_harness& system) { system.faults.backend_refused = 1000; },
         [&](at_most_once_harness& system)
         {
             wait_for_end(system);
             system.faults.backend_refused = 0;
         },
         {"refused_by_backend"},
         {"ran"},
         1},
        {"after the backend server's response was lost",
         [](at_most_once_harness& system) { system.faults.backend_lost = 1000; },
         wait_for_end,
         {"connection_lost"},
         {"outcome_unknown"},
         1},
    };
    for (const row& item : rows)
    {
        CAPTURE(item.name);
        at_most_once_harness system(1, {});
        item.before_first(system);
        const auto first = system.send(0, "k", "body");
        item.between(system);
        const auto second = system.send(1, "k", "body");
        CHECK(system.finish(*first, limit));
        CHECK(system.finish(*second, limit));
        CHECK(item.first.count(first->result) == 1);
        CAPTURE(second->result);
        CHECK(item.second.count(second->result) == 1);
        CHECK(system.runs["k"] == item.runs);
        step_for_2_s(system);
        CHECK(system.runs["k"] == item.runs);
    }
}

// Guards against a key that is reused for a different request: the second request must
// not run, nor get the response of the first one.
TEST_CASE("a key reused with a different body is refused by every node")
{
    at_most_once_harness system(1, {});
    const auto first = system.send(0, "k", "body");
    CHECK(system.finish(*first, limit));
    step_for_2_s(system);
    for (std::size_t node = 0; node < 3; ++node)
    {
        const auto other = system.send(node, "k", "other body");
        CHECK(system.finish(*other, limit));
        CHECK(other->result == "key_reused");
        CHECK(other->run == protocol::run_state::not_run);
    }
    CHECK(system.runs["k"] == 1);
}

// Guards against a request that runs twice, or a refusal that wrongly says it was not
// run, under combinations of faults. 400 schedules with seeds 1 to 400; each has two or
// three kinds of fault at once for 12 s of virtual time, followed by a period without
// faults, except that a truncated log stays truncated. In that period, a last request of
// every key must be settled: it ends with an outcome that the test accepts.
TEST_CASE("no request runs twice under random schedules of faults")
{
    constexpr std::uint64_t schedules = 400;
    constexpr int steps = 600;
    constexpr int keys = 8;
    const std::vector<std::function<void(fault_plan&)>> kinds = {
        [](fault_plan& plan) { plan.lost_answer = 400; },
        [](fault_plan& plan) { plan.late_append = 300; },
        [](fault_plan& plan) { plan.rejected = 300; },
        [](fault_plan& plan) { plan.backend_lost = 200; },
        [](fault_plan& plan) { plan.backend_refused = 400; },
        [](fault_plan& plan) { plan.give_up = 400; },
        [](fault_plan& plan) { plan.log_outages = true; },
        [](fault_plan& plan) { plan.stalled_readers = true; },
        [](fault_plan& plan) { plan.kills = true; },
        [](fault_plan& plan) { plan.truncates = true; },
    };
    for (std::uint64_t seed = 1; seed <= schedules; ++seed)
    {
        CAPTURE(seed);
        std::mt19937_64 choice(seed);
        fault_plan plan;
        const std::size_t count = 2 + choice() % 2;
        for (std::size_t i = 0; i < count; ++i)
            kinds[choice() % kinds.size()](plan);
        at_most_once_harness system(seed, plan);
        for (int i = 0; i < steps; ++i)
        {
            const std::size_t node = system.random() % 3;
            if (plan.log_outages && system.chance(20))
                system.log_down = !system.log_down;
            if (plan.stalled_readers && system.chance(30))
                system.reads_stalled[node] = !system.reads_stalled[node];
            if (plan.kills && system.chance(8))
                system.is_up(node) ? system.kill(node) : system.start(node);
            if (system.chance(200))
                system.send(node, "k" + std::to_string(system.random() % keys), "body");
            system.step();
        }
        system.faults = {};
        system.faults.truncates = plan.truncates;
        system.log_down = false;
        system.reads_stalled.assign(3, false);
        for (std::size_t node = 0; node < 3; ++node)
        {
            if (!system.is_up(node))
                system.start(node);
        }
        for (int i = 0; i < 500; ++i)
            system.step();
        for (int i = 0; i < keys; ++i)
        {
            const std::string key = "k" + std::to_string(i);
            CAPTURE(key);
            const int runs_before = system.runs[key];
            const auto last = system.send(system.random() % 3, key, "body");
            CHECK(system.finish(*last, limit));
            CAPTURE(last->result);
            // As long as no node that holds a claim dies, every key is free, has a
            // recorded response, or has an unknown outcome. A node that found no usable
            // snapshot runs nothing.
            const bool settled = last->result == "ran" || last->result == "replayed" ||
                                 last->result == "outcome_unknown" ||
                                 (plan.truncates && last->result == "log_unavailable");
            CHECK(settled);
            CHECK((last->result != "replayed" || runs_before == 1));
            if (!plan.kills && !plan.truncates && runs_before == 0)
                CHECK(last->result == "ran");
        }
        for (const auto& entry : system.runs)
        {
            CAPTURE(entry.first);
            CHECK(entry.second <= 1);
        }
        for (const auto& item : system.sent_requests)
            CHECK_FALSE((item->ran && item->run == protocol::run_state::not_run));
    }
}
