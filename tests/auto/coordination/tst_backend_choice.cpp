#include "coordination/backend_choice.hpp"
#include "coordination/random_source.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <cmath>
#include <deque>
#include <numeric>

namespace
{

using namespace pomelorouter; // NOLINT(google-build-using-namespace): test file
using namespace coordination; // NOLINT(google-build-using-namespace): test file
using protocol::load_scope;
using state::milliseconds;
using state::time_point;

const time_point start{state::seconds(100)};
const report_source others{load_scope::others, ""};

state::backend_entry entry(const std::string& id)
{
    state::backend_entry result;
    result.id = id;
    result.incarnation = 1;
    result.service = "models";
    result.address = "127.0.0.1:1";
    result.zone = "zone-a";
    result.slots = 64;
    result.models = {{"m1", 1, {}}};
    return result;
}

backend_demand demand(std::uint32_t prompt_tokens, std::uint32_t output_tokens)
{
    backend_demand result;
    result.service = "models";
    result.model = "m1";
    result.prompt_tokens = prompt_tokens;
    result.output_tokens = output_tokens;
    result.target_ms = 1000.0;
    return result;
}

std::string key_of(const std::string& id)
{
    return backend_chooser::process_key(entry(id));
}

/// Two engines, of which requests go to the one with the lower cost.
struct two_engines
{
    two_engines()
    {
        this->directory.apply(start, entry("e1"));
        this->directory.apply(start, entry("e2"));
    }

    backend_choice choose(const backend_demand& wanted, double draw = 0.3) const
    {
        return this->chooser.choose(start, this->directory, this->loads, this->limits,
                                    wanted, {}, draw);
    }
    /// How many of ten requests go to the first engine.
    int count_first(const backend_demand& wanted) const
    {
        int first = 0;
        for (int i = 0; i < 10; ++i)
        {
            const backend_choice choice = this->choose(wanted, i / 10.0);
            first += choice.backend && choice.backend->entry.id == "e1" ? 1 : 0;
        }
        return first;
    }
    /// Adds a call that is past its first byte.
    void add_running(const std::string& id, const call_work& work)
    {
        this->loads.on_first_byte(start, this->loads.begin(start, key_of(id), work));
    }

    backend_directory directory;
    backend_loads loads;
    backend_limits limits;
    backend_chooser chooser{"zone-a", {}};
};

} // namespace

// Failure: an engine whose memory is over-committed interrupts its newest streams again
// and again, and reads them anew, so that long streams take many times their time.
TEST_CASE("an engine without memory for the request is not chosen")
{
    two_engines fleet;
    backend_demand wanted = demand(2000, 20);
    wanted.engine_tokens = 10000;
    SUBCASE("own calls fill one engine")
    {
        for (int i = 0; i < 4; ++i)
            fleet.add_running("e1", {0, 20, 0.0, 2000});
        CHECK(fleet.count_first(wanted) == 0);
        CHECK(fleet.choose(wanted).backend);
        fleet.add_running("e2", {0, 20, 0.0, 8000});
        CHECK(fleet.choose(wanted).failure == choice_failure::overloaded);
        CHECK_FALSE(fleet.choose(wanted).is_too_large);
        CHECK(fleet.choose(wanted).is_memory_full);
        // A stream that is resumed must not break off because the figures are high.
        wanted.is_retry = true;
        CHECK(fleet.choose(wanted).backend);
        wanted.is_retry = false;
        // A smaller request still fits.
        backend_demand small = demand(1500, 200);
        small.engine_tokens = wanted.engine_tokens;
        CHECK(fleet.choose(small).backend);
    }
    SUBCASE("calls of other gateways fill one engine")
    {
        fleet.loads.set_peer(start, others, {{key_of("e1"), {4, 0, 0, 0.0, 8000}}});
        CHECK(fleet.count_first(wanted) == 0);
    }
    SUBCASE("other gateways send more than they have reported")
    {
        // 4,000 tokens a second for 0.3 s are 1,200 unseen tokens.
        fleet.loads.set_peer(
            start, others,
            {{key_of("e1"), {1, 0, 0, 4000.0, 7000}}, {key_of("e2"), {9, 0, 9, 0.0, 0}}});
        CHECK(fleet.count_first(wanted) == 0);
    }
    SUBCASE("the request exceeds the memory of each engine")
    {
        wanted.prompt_tokens = 9990;
        CHECK(fleet.choose(wanted).failure == choice_failure::overloaded);
        CHECK(fleet.choose(wanted).is_too_large);
    }
    SUBCASE("the memory of the engines is unknown")
    {
        wanted.engine_tokens = 0;
        fleet.add_running("e1", {0, 20, 0.0, 1000000});
        fleet.add_running("e2", {0, 20, 0.0, 1000000});
        CHECK(fleet.choose(wanted).backend);
    }
}

TEST_CASE("memory of calls is added up and can be subtracted again")
{
    backend_loads loads;
    const auto call = loads.begin(start, "e1", {1000, 100, 50.0, 1100});
    loads.set_peer(start, {load_scope::gateway, "a"}, {{"e1", {1, 0, 0, 0.0, 500}}});
    CHECK(loads.summary(start, "e1").memory_tokens == 1600);
    auto all = loads.all_loads(start);
    CHECK(all.at("e1").memory_tokens == 1600);
    all.at("e1") -= loads.loads_of(start, {load_scope::gateway, "a"})->at("e1");
    CHECK(all.at("e1").memory_tokens == 1100);
    loads.on_first_byte(start, call);
    CHECK(loads.summary(start, "e1").memory_tokens == 1600);
    loads.end(start, call, call_result::answered);
    CHECK(loads.summary(start, "e1").memory_tokens == 500);
}

// Failure: prompts that are read at an engine with long streams make these pause longer
// than their target.
TEST_CASE("prompts avoid engines whose long streams would pause too long")
{
    two_engines fleet;
    backend_demand wanted = demand(2000, 20);
    wanted.target_gap_ms = 400.0;
    for (int i = 0; i < 3; ++i)
        fleet.add_running("e1", {0, 200, 0.0, 2200});
    SUBCASE("a pause far below the target costs nothing")
    {
        // The other engine has the longer wait.
        fleet.loads.begin(start, key_of("e2"), {1000, 20, 0.0, 1000});
        CHECK(fleet.count_first(wanted) == 10);
    }
    SUBCASE("a pause beyond the target costs more than a longer wait")
    {
        for (int i = 0; i < 3; ++i)
            fleet.loads.begin(start, key_of("e1"), {2000, 20, 0.0, 2000});
        for (int i = 0; i < 4; ++i)
            fleet.loads.begin(start, key_of("e2"), {2000, 20, 0.0, 2000});
        CHECK(fleet.count_first(wanted) == 0);
        wanted.target_gap_ms = 0.0;
        CHECK(fleet.count_first(wanted) == 10);
    }
}

TEST_CASE("long streams choose engines with few prompts and memory left")
{
    two_engines fleet;
    backend_demand stream = demand(1000, 200);
    stream.engine_tokens = 10000;
    SUBCASE("prompts arrive at one engine")
    {
        // All processed by now, so that only their rate differs.
        fleet.loads.set_peer(start, others, {{key_of("e1"), {0, 0, 0, 8000.0, 0}}});
        const backend_chooser no_delay("zone-a", {{}, 1.0, 20.0, 3.0, 600.0, 400.0, 0.0});
        const auto choose = [&](const backend_demand& wanted)
        {
            return no_delay.choose(start, fleet.directory, fleet.loads, fleet.limits,
                                   wanted, {}, 0.0);
        };
        CHECK(choose(stream).backend->entry.id == "e2");
        CHECK(choose(demand(1000, 20)).backend->entry.id == "e1");
    }
    SUBCASE("one engine has little memory left")
    {
        fleet.add_running("e1", {0, 20, 0.0, 8000});
        fleet.loads.begin(start, key_of("e2"), {1000, 20, 0.0, 1000});
        CHECK(fleet.count_first(stream) == 0);
        backend_demand brief = demand(1000, 20);
        brief.engine_tokens = stream.engine_tokens;
        CHECK(fleet.count_first(brief) == 10);
    }
}

// Failure: a request that cannot end before its caller gives up occupies an engine until
// then.
TEST_CASE("a request that no engine can end in time is refused")
{
    two_engines fleet;
    backend_demand stream = demand(1000, 200);
    // The prior is 25 ms a token, so half of the output takes 2.5 s.
    stream.deadline = start + milliseconds(3500);
    CHECK(fleet.choose(stream).backend);
    for (int i = 0; i < 10; ++i)
        fleet.loads.begin(start, key_of("e1"), {2000, 20, 0.0, 2000});
    CHECK(fleet.count_first(stream) == 0);
    CHECK(fleet.choose(stream).backend);
    for (int i = 0; i < 10; ++i)
        fleet.loads.begin(start, key_of("e2"), {2000, 20, 0.0, 2000});
    CHECK(fleet.choose(stream).failure == choice_failure::overloaded);
    CHECK_FALSE(fleet.choose(stream).backend);
    // One that may have run before is not refused.
    stream.is_retry = true;
    CHECK(fleet.choose(stream).backend);
    stream.is_retry = false;
    stream.deadline = {};
    CHECK(fleet.choose(stream).backend);
}

// Failure: constants of one installation decide on the engines of another.
TEST_CASE("learned speeds replace the prior in the estimates")
{
    two_engines fleet;
    CHECK(fleet.choose(demand(2000, 20)).expected_ms == doctest::Approx(125.0));
    time_point now = start;
    for (int i = 0; i < 200; ++i)
    {
        const double tokens = i % 2 == 0 ? 3000.0 : 500.0;
        fleet.chooser.speeds().on_first_byte(now, "models", key_of("e1"), tokens,
                                             10.0 + tokens / 50.0);
    }
    CHECK(fleet.choose(demand(2000, 20)).expected_ms ==
          doctest::Approx(50.0).epsilon(0.15));
}

namespace
{

/// Gateways that choose engines by loads of a given age, in virtual time. Engines read
/// one prompt after the other.
struct stale_fleet
{
    static constexpr int engines = 24;
    static constexpr int gateways = 91;
    static constexpr milliseconds tick{200};
    static constexpr int report_ticks = 2;
    static constexpr double prompt_ms = 100.0;
    static constexpr std::uint32_t prompt_tokens = 2000;

    struct result
    {
        /// Mean over the seconds of the run.
        double busiest_to_mean = 0.0;
        double longest_wait_ms = 0.0;
    };

    /// `has_rates` tells whether reports carry the rates of prompts, without which a
    /// gateway does not know what the others send.
    static result run(bool has_rates, double utilization, std::uint64_t seed)
    {
        random_source random(seed);
        backend_directory directory;
        std::vector<std::string> keys;
        for (int i = 0; i < engines; ++i)
        {
            const std::string id = "e" + std::to_string(i);
            directory.apply(start, entry(id));
            keys.push_back(key_of(id));
        }
        const backend_limits limits;
        const backend_chooser chooser("zone-a", {});
        std::vector<backend_loads> loads(gateways);
        std::vector<double> free_at(engines, 0.0);
        struct running_call
        {
            double ends;
            std::size_t gateway;
            backend_loads::call_id id;
        };
        std::vector<running_call> running;
        std::deque<std::vector<backend_loads::load_map>> history;
        result total;
        int windows = 0;
        std::vector<int> sent(engines, 0);
        const double mean_interval = prompt_ms / (engines * utilization);
        constexpr double tick_ms = 200.0;
        constexpr int ticks = 200;
        constexpr int ticks_per_window = 25;
        double next_arrival = 0.0;
        const auto at = [](double ms) {
            return start + std::chrono::microseconds(static_cast<std::int64_t>(ms * 1e3));
        };
        for (int tick_number = 0; tick_number < ticks; ++tick_number)
        {
            const double tick_end = (tick_number + 1) * tick_ms;
            for (; next_arrival < tick_end;
                 next_arrival -= mean_interval * std::log(1.0 - random.unit()))
            {
                const time_point now = at(next_arrival);
                for (const running_call& call : running)
                {
                    if (call.ends <= next_arrival)
                    {
                        loads[call.gateway].on_first_byte(at(call.ends), call.id);
                        loads[call.gateway].end(at(call.ends), call.id,
                                                call_result::answered);
                    }
                }
                std::erase_if(running, [&](const running_call& call)
                              { return call.ends <= next_arrival; });
                const std::size_t gateway = random.below(gateways);
                const backend_choice choice =
                    chooser.choose(now, directory, loads[gateway], limits,
                                   demand(prompt_tokens, 20), {}, random.unit());
                const std::string key =
                    backend_chooser::process_key(choice.backend->entry);
                const auto index = static_cast<std::size_t>(
                    std::find(keys.begin(), keys.end(), key) - keys.begin());
                ++sent[index];
                free_at[index] = std::max(free_at[index], next_arrival) + prompt_ms;
                total.longest_wait_ms =
                    std::max(total.longest_wait_ms, free_at[index] - next_arrival);
                running.push_back({free_at[index], gateway,
                                   loads[gateway].begin(now, key, {prompt_tokens, 20})});
            }
            const time_point now = at(tick_end);
            std::vector<backend_loads::load_map> reports;
            reports.reserve(loads.size());
            for (const backend_loads& own : loads)
                reports.push_back(own.own_loads(now));
            history.push_back(std::move(reports));
            if (history.size() > report_ticks)
            {
                const auto& old = history.front();
                backend_loads::load_map sum;
                for (const auto& report : old)
                    for (const auto& [key, load] : report)
                        sum[key] += load;
                for (std::size_t gateway = 0; gateway < loads.size(); ++gateway)
                {
                    backend_loads::load_map seen = sum;
                    for (const auto& [key, load] : old[gateway])
                        seen[key] -= load;
                    for (auto& [key, load] : seen)
                        load.prompt_rate = has_rates ? load.prompt_rate : 0.0;
                    loads[gateway].set_peer(now, others, std::move(seen));
                }
                history.pop_front();
            }
            if ((tick_number + 1) % ticks_per_window != 0)
                continue;
            const double mean =
                std::accumulate(sent.begin(), sent.end(), 0) / double(engines);
            total.busiest_to_mean += *std::max_element(sent.begin(), sent.end()) / mean;
            ++windows;
            std::fill(sent.begin(), sent.end(), 0);
        }
        total.busiest_to_mean /= windows;
        return total;
    }
};

} // namespace

// Failure: gateways that choose the engine with the least reported load all choose the
// same one until the next reports.
TEST_CASE("gateways with stale loads spread their requests")
{
    for (const double utilization : {0.4, 0.6, 0.8})
    {
        for (const std::uint64_t seed : {1U, 2U, 3U})
        {
            CAPTURE(utilization);
            CAPTURE(seed);
            const auto cheapest = stale_fleet::run(false, utilization, seed);
            const auto spread = stale_fleet::run(true, utilization, seed);
            MESSAGE("busiest to mean ", cheapest.busiest_to_mean, " without rates, ",
                    spread.busiest_to_mean, " with; longest wait ",
                    cheapest.longest_wait_ms, " and ", spread.longest_wait_ms, " ms");
            CHECK(spread.busiest_to_mean < 1.5);
            CHECK(spread.longest_wait_ms < cheapest.longest_wait_ms);
            // Under less load, most of the difference between engines is chance.
            if (utilization > 0.7)
                CHECK(cheapest.busiest_to_mean > 1.5);
        }
    }
}
