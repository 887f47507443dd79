#include "coordination/engine_speed.hpp"
#include "coordination/random_source.hpp"

#include <doctest/doctest.h>

#include <string>

namespace
{

using namespace pomelorouter; // NOLINT(google-build-using-namespace): test file
using namespace coordination; // NOLINT(google-build-using-namespace): test file
using protocol::load_scope;
using state::milliseconds;
using state::time_point;

const time_point start{state::seconds(100)};
const std::string service = "models";

/// Feeds the calls of engines of a known speed, of which a share takes `outlier` times as
/// long.
void add_calls(engine_speed& speeds, time_point& now, const engine_pace& truth, int calls,
               double outlier_share = 0.0, double outlier = 1.0)
{
    random_source random(17);
    for (int i = 0; i < calls; ++i)
    {
        now += milliseconds(50);
        const double tokens = 4000.0 * random.unit();
        const double running = 40.0 * random.unit();
        const double noise = random.unit() < outlier_share ? outlier : 1.0;
        const double first_byte_ms =
            truth.first_step_ms + tokens / truth.prompt_tokens_per_ms;
        speeds.on_first_byte(now, service, "e1@1", tokens, first_byte_ms * noise);
        stream_sample sample;
        sample.output_tokens = 100;
        sample.events = 50;
        sample.running = running;
        sample.duration_ms = truth.ms_per_output_token(running) * 100.0 * noise;
        speeds.on_stream_end(now, service, sample);
    }
}

} // namespace

// Failure: queues and deadlines that were computed for engines of another speed.
TEST_CASE("the speed of engines is learned from calls")
{
    struct row
    {
        const char* name;
        engine_pace truth;
        double outlier_share;
        double outlier;
    };
    const std::vector<row> rows{
        {"like the prior", {20.0, 25.0, 25.0, 0.0}, 0.0, 1.0},
        {"fast prompts", {40.0, 12.0, 10.0, 0.05}, 0.0, 1.0},
        {"slow", {8.0, 60.0, 50.0, 0.5}, 0.0, 1.0},
        {"each tenth call takes five times as long", {40.0, 12.0, 10.0, 0.05}, 0.1, 5.0},
    };
    for (const row& item : rows)
    {
        CAPTURE(item.name);
        engine_speed speeds({});
        time_point now = start;
        add_calls(speeds, now, item.truth, 300, item.outlier_share, item.outlier);
        const engine_pace learned = speeds.of(now, service);
        const auto first_byte = [](const engine_pace& pace)
        { return pace.first_step_ms + 3000.0 / pace.prompt_tokens_per_ms; };
        CHECK(first_byte(learned) ==
              doctest::Approx(first_byte(item.truth)).epsilon(0.15));
        CHECK(learned.ms_per_output_token(20.0) ==
              doctest::Approx(item.truth.ms_per_output_token(20.0)).epsilon(0.15));
        CHECK(speeds.of(now, "other").prompt_tokens_per_ms == doctest::Approx(20.0));
    }
}

// Failure: the time that prompts of others took counts as the speed of the engine, and
// then again for each engine with prompts.
TEST_CASE("the pace of a stream is learned without the prompts of others")
{
    engine_speed speeds({});
    time_point now = start;
    for (int i = 0; i < 300; ++i)
    {
        now += milliseconds(50);
        // Half of the engine's time goes to prompts.
        speeds.on_stream_end(now, service, {2000.0, 100, 50, 0.0, 10000.0});
        // Ends with its first event, which says nothing about the pace.
        speeds.on_stream_end(now, service, {1.0, 100, 1, 0.0, 0.0});
    }
    CHECK(speeds.of(now, service).ms_per_output_token(0.0) ==
          doctest::Approx(10.0).epsilon(0.15));
}

// Failure: figures that are kept when nothing confirms them any more. If they say that no
// request can end in time, no call would ever correct them.
TEST_CASE("the prior holds before the first call, after a release and after silence")
{
    const engine_pace fast{60.0, 8.0, 5.0, 0.0};
    engine_speed speeds({});
    time_point now = start;
    CHECK(speeds.of(now, service).step_ms == doctest::Approx(25.0));
    CHECK(speeds.of(now, service).samples == doctest::Approx(0.0));
    add_calls(speeds, now, fast, 300);
    SUBCASE("silence")
    {
        now += state::seconds(600);
        CHECK(speeds.of(now, service).prompt_tokens_per_ms ==
              doctest::Approx(20.0).epsilon(0.01));
        CHECK(speeds.of(now, service).step_ms == doctest::Approx(25.0).epsilon(0.01));
    }
    SUBCASE("release")
    {
        speeds.set_peer(now, {load_scope::others, ""}, {{service, 60.0, 5.0, 0.0, 50.0}});
        speeds.retain(now, {"e1@1", "e2@1"});
        CHECK(speeds.of(now, service).step_ms < 8.0);
        speeds.retain(now, {"e1@2", "e2@2"});
        // Reports of peers that have not noticed the release are ignored.
        CHECK(speeds.of(now, service).step_ms == doctest::Approx(25.0));
        now += state::seconds(10);
        speeds.set_peer(now, {load_scope::others, ""}, {{service, 60.0, 7.0, 0.0, 50.0}});
        CHECK(speeds.of(now, service).step_ms < 8.0);
    }
}

// Failure: sums that grow when a report is repeated, or that keep a lost peer's figures.
TEST_CASE("speeds of gateways are merged by their number of calls")
{
    engine_speed speeds({});
    time_point now = start;
    const report_source peer{load_scope::gateway, "a"};
    for (int i = 0; i < 5; ++i)
        speeds.set_peer(now, peer, {{service, 40.0, 10.0, 0.0, 30.0}});
    speeds.set_peer(now, {load_scope::gateway, "b"}, {{service, 20.0, 20.0, 0.0, 10.0}});
    speeds.set_peer(now, {load_scope::zone, "far"}, {{service, 20.0, 20.0, 0.0, 60.0}});
    // A report without a speed is ignored.
    speeds.set_peer(now, {load_scope::gateway, "c"}, {{service, 0.0, 10.0, 0.0, 99.0}});
    CHECK(speeds.own_speeds(now).empty());
    REQUIRE(speeds.zone_speeds(now).size() == 1);
    CHECK(speeds.zone_speeds(now)[0].samples == doctest::Approx(40.0));
    CHECK(speeds.zone_speeds(now)[0].step_ms == doctest::Approx(12.5));
    CHECK(speeds.zone_speeds(now)[0].prompt_tokens_per_ms == doctest::Approx(32.0));
    CHECK(speeds.all_speeds(now)[0].samples == doctest::Approx(100.0));
    CHECK(speeds.all_speeds(now)[0].step_ms == doctest::Approx(17.0));
    CHECK(speeds.of(now, service).step_ms == doctest::Approx(17.0).epsilon(0.02));
    speeds.forget_peer(peer);
    CHECK(speeds.zone_speeds(now)[0].step_ms == doctest::Approx(20.0));
    now += state::seconds(11);
    CHECK(speeds.all_speeds(now).empty());
    CHECK(speeds.of(now, service).step_ms == doctest::Approx(25.0));
}
