#include "coordination/prompt_cache.hpp"
#include "coordination/prompt_quarantine.hpp"
#include "coordination/weight_demand.hpp"

#include <doctest/doctest.h>

#include <string>
#include <vector>

// Tables whose keys come from requests. A client can put a new key into each request.

namespace
{

using namespace pomelorouter; // NOLINT(google-build-using-namespace): test file
using state::milliseconds;
using state::time_point;

const time_point start{state::seconds(1000)};

std::string name_of(int number)
{
    return "m" + std::to_string(number);
}

} // namespace

// Guards against a gateway whose memory grows with each name that a client invents.
TEST_CASE("the demand for models is kept for a bounded number of names")
{
    constexpr int requests = 20'000;
    constexpr std::size_t most_names = 4096;
    coordination::weight_demand demand;
    for (int i = 0; i < requests; ++i)
    {
        const time_point now = start + milliseconds(i);
        demand.on_request(now, {"s", name_of(i), ""}, 1.0);
        // Guards against invented names that displace the models in use.
        demand.on_request(now, {"s", "used", "a1"}, 100.0);
    }
    CHECK(demand.measured() <= most_names);
    const auto rates = demand.own_rates(start + milliseconds(requests));
    CHECK(rates.count({"s", "used", "a1"}) == 1);
}

TEST_CASE("names of which no request came for long make room for new ones")
{
    // Guards against a full table that measures no further model.
    constexpr int names = 5000;
    coordination::weight_demand demand;
    for (int i = 0; i < names; ++i)
        demand.on_request(start, {"s", name_of(i), ""}, 1000.0);
    const time_point later = start + std::chrono::minutes(10);
    demand.on_request(later, {"s", "new", ""}, 1000.0);
    CHECK(demand.own_rates(later).count({"s", "new", ""}) == 1);
    CHECK(demand.measured() < names);
}

// Guards against prompts of very short parts, of which an engine caches far more than the
// gateway can keep, and of empty ones, which never exceed the capacity of the engine.
TEST_CASE("the parts that an engine is considered to have cached are bounded in number")
{
    constexpr std::int64_t capacity = 1'000'000;
    constexpr std::uint64_t parts = 20'000;
    constexpr std::size_t most_parts = 1024;
    for (const std::uint32_t tokens : {0U, 1U})
    {
        CAPTURE(tokens);
        coordination::prompt_cache cache(capacity);
        for (std::uint64_t id = 0; id < parts; ++id)
            cache.record("m1", {{id, tokens}});
        CHECK(cache.size() <= most_parts);
        // The newest parts are kept.
        CHECK(cache.cached_tokens("m1", {{parts - 1, tokens}}) == tokens);
    }
}

// Guards against prompts of very many parts, all of which are remembered as answered.
TEST_CASE("the parts that were answered a moment ago are bounded in number")
{
    constexpr std::uint64_t prompts = 100;
    constexpr std::uint64_t parts_per_prompt = 1000;
    constexpr std::size_t most_parts = 16'384;
    coordination::prompt_quarantine quarantine;
    for (std::uint64_t i = 0; i < prompts; ++i)
    {
        std::vector<std::uint64_t> parts;
        for (std::uint64_t part = 0; part < parts_per_prompt; ++part)
            parts.push_back(i * parts_per_prompt + part);
        quarantine.on_answer(start, "models", parts);
    }
    CHECK(quarantine.answered_parts() <= most_parts);
    // Parts at the begin of a later prompt still count as answered after some time.
    quarantine.tick(start + state::seconds(3));
    quarantine.tick(start + state::seconds(6));
    quarantine.on_answer(start + state::seconds(6), "models", {1});
    CHECK(quarantine.answered_parts() == 1);
}
