#include "coordination/slow_engine_detector.hpp"

#include "engine_fixture.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <optional>

using namespace pomelorouter; // NOLINT(google-build-using-namespace): test file
using namespace pomelorouter::coordination; // NOLINT(google-build-using-namespace)
using state::milliseconds;
using tests::engine_fixture;
using tests::start_time;

namespace
{

constexpr milliseconds step{5};
constexpr milliseconds tick_period{20};
constexpr double usual_gap_ms = 29.0;

/// Runs one request at a time on each engine that is not ejected, in virtual time. Load
/// reports do not change, so only the calls can show that an engine is slow.
class simulation
{
public:
    simulation(std::size_t engines, std::uint64_t seed)
        : fixture(engines),
          detector(fixture.load),
          random(seed),
          slowdown(engines, 1.0),
          calls(engines)
    {
    }

    /// Runs until `done` returns true. Returns the duration, or nothing after `limit`.
    template <typename Condition>
    std::optional<milliseconds> run(milliseconds limit, Condition done)
    {
        const state::time_point begin = this->now;
        while (this->now - begin < limit)
        {
            this->now += step;
            for (std::uint32_t i = 0; i < this->calls.size(); ++i)
                this->step_engine(i);
            if ((this->now - start_time) % tick_period == milliseconds(0))
                this->detector.tick(this->now);
            this->peak_ejected = std::max(this->peak_ejected, this->detector.ejected());
            if (done())
                return std::chrono::duration_cast<milliseconds>(this->now - begin);
        }
        return std::nullopt;
    }

    void run(milliseconds time)
    {
        this->run(time, [] { return false; });
    }

    bool is_ejected(std::uint32_t engine) const
    {
        return this->fixture.load.at_index(engine).ejected;
    }

    engine_fixture fixture;
    slow_engine_detector detector;
    random_source random;
    std::vector<double> slowdown;
    std::size_t peak_ejected = 0;
    state::time_point now = start_time;

private:
    struct running_call
    {
        std::optional<call_number> number;
        int tokens_left = 0;
        state::time_point next_token{};
    };

    state::time_point token_time(std::uint32_t engine, double usual_ms)
    {
        const double jitter = 0.7 + 0.6 * this->random.unit();
        return this->now + std::chrono::duration_cast<state::time_point::duration>(
                               std::chrono::duration<double, std::milli>(
                                   usual_ms * jitter * this->slowdown[engine]));
    }

    void step_engine(std::uint32_t engine)
    {
        running_call& call = this->calls[engine];
        const engine_slot slot = this->fixture.load.slot_of(engine);
        if (!call.number)
        {
            if (this->is_ejected(engine))
            {
                if (!this->detector.is_probe_due(slot, this->now))
                    return;
                this->detector.on_probe_sent(slot, this->now);
            }
            call.number = this->fixture.load.start(slot, 40, false, this->now);
            call.tokens_left = 40;
            call.next_token = this->token_time(engine, 150.0);
            return;
        }
        if (this->now < call.next_token)
            return;
        this->fixture.load.progress(*call.number, 1, this->now);
        this->fixture.load.wait_again(*call.number, this->now);
        call.next_token = this->token_time(engine, usual_gap_ms);
        if (--call.tokens_left > 0)
            return;
        this->fixture.load.finish(*call.number);
        call.number.reset();
    }

    std::vector<running_call> calls;
};

} // namespace

// Guards against slow engines that get requests until a load report shows the slowdown,
// and against engines that stay ejected after they have recovered.
TEST_CASE("slow calls eject an engine and fast probes reinstate it")
{
    for (const std::uint64_t seed : {1U, 2U, 3U, 4U, 5U})
    {
        CAPTURE(seed);
        simulation run(18, seed);
        run.run(milliseconds(5000));
        CHECK(run.peak_ejected == 0); // no engine is slow yet
        for (const std::uint32_t slow : {3U, 8U, 13U})
            run.slowdown[slow] = 10.0;
        const auto all_ejected = [&run]
        { return run.is_ejected(3) && run.is_ejected(8) && run.is_ejected(13); };
        // Load reports arrive every 500 ms at best and with a delay; the calls must show
        // the slowdown by then.
        const auto found = run.run(milliseconds(2000), all_ejected);
        REQUIRE(found);
        CHECK(*found <= milliseconds(500));
        // The engines stay ejected while they are slow, since probes find them slow
        // again.
        int steps = 0;
        int steps_not_ejected = 0;
        const auto count_steps = [&]
        {
            ++steps;
            steps_not_ejected += all_ejected() ? 0 : 1;
            return false;
        };
        run.run(milliseconds(3000), count_steps);
        CHECK(steps_not_ejected * 20 <= steps);
        for (double& factor : run.slowdown)
            factor = 1.0;
        const auto recovered =
            run.run(milliseconds(5000), [&run] { return run.detector.ejected() == 0; });
        CHECK(recovered);
    }
}

// Guards against a call that waits forever for an engine that has stopped responding.
TEST_CASE("an engine is ejected while a call to it is stalled")
{
    engine_fixture fixture(6);
    slow_engine_detector detector(fixture.load);
    state::time_point now = start_time;
    std::vector<call_number> calls;
    for (std::uint32_t i = 0; i < 6; ++i)
        calls.push_back(fixture.load.start(fixture.load.slot_of(i), 1000, false, now));
    for (int token = 0; token < 20; ++token)
    {
        now += milliseconds(29);
        for (const call_number call : calls)
        {
            fixture.load.progress(call, 1, now);
            fixture.load.wait_again(call, now);
        }
        detector.tick(now);
    }
    CHECK(detector.ejected() == 0);
    for (int i = 0; i < 10; ++i)
    {
        now += milliseconds(29);
        for (std::size_t other = 1; other < calls.size(); ++other)
        {
            fixture.load.progress(calls[other], 1, now);
            fixture.load.wait_again(calls[other], now);
        }
        detector.tick(now);
    }
    CHECK(fixture.load.at_index(0).ejected);
    CHECK(detector.is_stalled(fixture.load.calls()[calls[0]], now));
    CHECK(detector.ejected() == 1);
}

// Guards against an unresponsive engine that is never detected because each of its calls
// is abandoned, after a hedge has won, before it counts as stalled.
TEST_CASE("abandoned calls with a long wait count as slow")
{
    simulation run(6, 6);
    run.run(milliseconds(3000));
    const engine_slot slot = run.fixture.load.slot_of(0);
    run.slowdown[0] = 1e6;
    CHECK_FALSE(run.is_ejected(0));
    for (int i = 0; i < 20 && !run.is_ejected(0); ++i)
    {
        const call_number call = run.fixture.load.start(slot, 10, false, run.now);
        run.fixture.load.give_up(call, run.now + milliseconds(1200));
        run.fixture.load.finish(call);
        run.detector.tick(run.now);
    }
    CHECK(run.is_ejected(0));
}

// Guards against a probe that is not evaluated: with few engines, the probed one, whose
// speed is temporarily unknown, left too few engines for a comparison.
TEST_CASE("a stalled probe ejects the engine again with only three engines")
{
    simulation run(3, 4);
    run.run(milliseconds(3000));
    run.slowdown[1] = 1e6;
    CHECK(run.run(milliseconds(1500), [&run] { return run.is_ejected(1); }));
    run.run(milliseconds(2000));
    const engine_slot slot = run.fixture.load.slot_of(1);
    run.detector.on_probe_sent(slot, run.now);
    CHECK(run.detector.state_of(slot) == health::probing);
    run.run(milliseconds(1500));
    CHECK(run.detector.state_of(slot) == health::ejected);
}

// Guards against an engine that passes its probes, fails the requests of callers and is
// probed again twice a second forever.
TEST_CASE("the probe interval grows with each consecutive ejection")
{
    engine_fixture fixture(6);
    slow_engine_detector detector(fixture.load);
    detector.tick(start_time);
    state::time_point now = start_time;
    const engine_slot slot = fixture.load.slot_of(0);
    milliseconds expected(500);
    for (int round = 0; round < 6; ++round)
    {
        CAPTURE(round);
        detector.on_failure(slot, now);
        CHECK_FALSE(detector.is_probe_due(slot, now + expected - milliseconds(1)));
        CHECK(detector.is_probe_due(slot, now + expected));
        CHECK(detector.next_probe(now + expected) == slot);
        now += expected;
        detector.on_probe_sent(slot, now);
        CHECK_FALSE(detector.next_probe(now + std::chrono::hours(1)));
        const call_number call = fixture.load.start(slot, 4, false, now);
        fixture.load.progress(call, 4, now);
        fixture.load.finish(call);
        detector.tick(now);
        CHECK_FALSE(fixture.load.at(slot).ejected);
        expected = std::min(expected * 2, milliseconds(4000));
    }
    now += std::chrono::seconds(11);
    detector.on_failure(slot, now);
    CHECK(detector.is_probe_due(slot, now + milliseconds(500)));
}

// Guards against the ejection of most engines at once, for example because of a fault in
// the network of the node.
TEST_CASE("at most a third of the engines, but one of two, is ejected")
{
    struct row
    {
        std::size_t engines;
        std::size_t max_ejected;
    };
    for (const row& item : {row{1, 0}, row{2, 1}, row{3, 1}, row{18, 6}, row{600, 200}})
    {
        CAPTURE(item.engines);
        engine_fixture fixture(item.engines);
        slow_engine_detector detector(fixture.load);
        detector.tick(start_time);
        for (int round = 0; round < 3; ++round)
        {
            for (std::uint32_t i = 0; i < item.engines; ++i)
                detector.on_failure(fixture.load.slot_of(i), start_time);
        }
        CHECK(detector.ejected() == item.max_ejected);
        std::size_t flagged = 0;
        for (std::uint32_t i = 0; i < item.engines; ++i)
            flagged += fixture.load.at_index(i).ejected ? 1 : 0;
        CHECK(flagged == item.max_ejected);
    }
    simulation run(18, 9);
    run.run(milliseconds(3000));
    for (std::size_t i = 0; i < 9; ++i)
        run.slowdown[i] = 10.0;
    run.run(milliseconds(5000));
    CHECK(run.peak_ejected <= 6);
}

// Guards against state numbers of the state machine that differ from the enumeration.
TEST_CASE("events change the health of a backend server along the transition table")
{
    backend_health machine;
    CHECK(machine.state() == health::healthy);
    machine.on_probe_sent();
    CHECK(machine.state() == health::healthy);
    machine.on_slow();
    CHECK(machine.state() == health::suspect);
    machine.on_normal();
    CHECK(machine.state() == health::healthy);
    machine.on_slow();
    machine.on_slow();
    CHECK(machine.state() == health::ejected);
    machine.on_probe_sent();
    CHECK(machine.state() == health::probing);
    machine.on_slow();
    CHECK(machine.state() == health::ejected);
    machine.on_probe_sent();
    machine.on_normal();
    CHECK(machine.state() == health::healthy);
    machine.on_failed();
    CHECK(machine.state() == health::ejected);
    machine.on_reinstated();
    CHECK(machine.state() == health::suspect);
}
