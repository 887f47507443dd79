#include "coordination/backend_choice.hpp"

#include <doctest/doctest.h>

#include <map>
#include <string>
#include <vector>

namespace
{

using namespace pomelorouter; // NOLINT(google-build-using-namespace): test file
using namespace coordination; // NOLINT(google-build-using-namespace): test file

const state::time_point start{state::seconds(100)};

state::backend_entry engine(const std::string& id, const std::string& zone = "zone-a")
{
    state::backend_entry result;
    result.id = id;
    result.incarnation = 1;
    result.service = "models";
    result.address = "127.0.0.1:1";
    result.zone = zone;
    result.slots = 64;
    result.models = {{"m1", 1, {"a1"}}};
    return result;
}

} // namespace

// Guards against a backend server that is missing from an explanation or listed there for
// another reason than the one for which it was left out, and against a choice that
// differs because it is explained.
TEST_CASE("the terms of a choice list each backend server of the service")
{
    backend_directory directory;
    backend_loads loads;
    backend_limits limits;
    backend_chooser chooser("zone-a", {});
    for (const char* const id :
         {"busy", "free", "full", "late", "leaving", "limited", "paused", "tried"})
        directory.apply(start, engine(id));
    directory.apply(start, engine("far", "zone-b"));
    auto other_model = engine("other_model");
    other_model.models = {{"m2", 1, {}}};
    directory.apply(start, other_model);
    auto no_adapter = engine("no_adapter");
    no_adapter.models = {{"m1", 1, {}}};
    directory.apply(start, no_adapter);
    auto other_service = engine("other_service");
    other_service.service = "plain";
    directory.apply(start, other_service);
    const auto key = [](const std::string& id)
    { return backend_chooser::process_key(engine(id)); };
    directory.on_leaving_answer(start, "leaving", 1);
    limits.on_response(start, key("limited"), 5.0);
    loads.on_pause(start, key("paused"), state::milliseconds(500));
    loads.begin(start, key("busy"), {2000, 20, 100.0, 2000});
    loads.begin(start, key("full"), {10, 20, 1.0, 9500});
    loads.begin(start, key("late"), {2000000, 20, 1.0, 0});
    backend_demand wanted;
    wanted.service = "models";
    wanted.model = "m1";
    wanted.adapter = "a1";
    wanted.prompt_tokens = 1000;
    wanted.output_tokens = 20;
    wanted.engine_tokens = 10000;
    wanted.deadline = start + state::seconds(5);

    std::vector<candidate_terms> terms;
    const backend_choice choice =
        chooser.choose(start, directory, loads, limits, wanted, {"tried"}, 0.3, &terms);
    REQUIRE(choice.backend);
    CHECK(choice.backend->entry.id == "free");
    CHECK(
        chooser.choose(start, directory, loads, limits, wanted, {"tried"}, 0.3).backend ==
        choice.backend);
    const std::map<std::string, candidate_state> expected{
        {"busy", candidate_state::usable},
        {"far", candidate_state::usable},
        {"free", candidate_state::usable},
        {"full", candidate_state::memory_full},
        {"late", candidate_state::too_late},
        {"leaving", candidate_state::leaving},
        {"limited", candidate_state::limited},
        {"no_adapter", candidate_state::adapter_missing},
        {"other_model", candidate_state::model_missing},
        {"paused", candidate_state::paused},
        {"tried", candidate_state::already_tried}};
    CHECK(terms.size() == expected.size());
    std::map<std::string, candidate_terms> by_id;
    for (const candidate_terms& item : terms)
    {
        CAPTURE(item.backend);
        by_id[item.backend] = item;
        REQUIRE(expected.contains(item.backend));
        CHECK(to_string(item.state) == to_string(expected.at(item.backend)));
    }
    CHECK(by_id["free"].expected_ms == choice.expected_ms);
    CHECK(by_id["free"].cost_ms < by_id["busy"].cost_ms);
    CHECK(by_id["busy"].queue_ms > 0.0);
    CHECK(by_id["free"].extra.zone_ms == 0.0);
    CHECK(by_id["far"].extra.zone_ms > 0.0);
    CHECK(by_id["far"].zone == "zone-b");
    REQUIRE(by_id["paused"].available_at);
    CHECK(*by_id["paused"].available_at == start + state::milliseconds(500));
}
