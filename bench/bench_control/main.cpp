#include "coordination/settings_fold.hpp"
#include "measurement.hpp"
#include "protocol/engine_api.hpp"
#include "protocol/platform_api.hpp"
#include "protocol/settings_records.hpp"
#include "state/settings.hpp"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <array>
#include <string>

namespace
{

using namespace pomelorouter; // NOLINT(google-build-using-namespace): benchmark program
using bench::measurement;

constexpr std::array<std::int64_t, 3> model_counts{31, 100, 310};
constexpr std::array<std::int64_t, 3> engine_counts{60, 200, 600};
constexpr std::int64_t adapters_per_model = 4;
constexpr std::int64_t model_bytes = 16LL << 30;

boost::json::value make_tree(std::int64_t models)
{
    boost::json::object all;
    for (std::int64_t i = 0; i < models; ++i)
    {
        boost::json::object adapters;
        for (std::int64_t a = 0; a < adapters_per_model; ++a)
            adapters["adapter-" + std::to_string(a)] = {{"bytes", 50'000'000}};
        all["model-" + std::to_string(i)] = {
            {"bytes", model_bytes},
            {"attributes", {{"priority", i % 10}}},
            {"adapters", std::move(adapters)},
        };
    }
    return {{"services", {{"assistants", {{"models", std::move(all)}}}}}};
}

void measure_settings(std::vector<measurement>& results)
{
    for (const std::int64_t models : model_counts)
    {
        const boost::json::value tree = make_tree(models);
        protocol::settings_proposal proposal;
        proposal.id = "p";
        proposal.tree = tree;
        const std::string record = protocol::format_settings_record(proposal);
        const double resolve = bench::microseconds_per_call(
            [&] { state::resolve_settings(tree, "settings"); });
        results.push_back({"resolve settings (models)", models, resolve, 0});
        const double fold = bench::microseconds_per_call(
            [&]
            {
                coordination::settings_fold reader;
                reader.begin_at(0);
                reader.apply(0, record);
            });
        results.push_back({"fold a settings proposal (models)", models, fold,
                           static_cast<std::int64_t>(record.size())});
        const std::int64_t before = bench::heap_bytes();
        const auto resolved =
            std::make_unique<state::settings>(state::resolve_settings(tree, "settings"));
        results.push_back({"settings held in memory (models)", models, 0.0,
                           bench::heap_bytes() - before});
    }
}

void measure_engine_reports(std::vector<measurement>& results)
{
    for (const std::int64_t resident : {2, 8, 32})
    {
        state::engine_inventory inventory;
        inventory.engine = "engine-1";
        for (std::int64_t i = 0; i < resident; ++i)
        {
            inventory.resident.push_back(
                {"model-" + std::to_string(i), "1", "adapter", 50'000'000, true});
        }
        const std::string body = protocol::format_inventory(inventory);
        const std::string load = protocol::format_load_report({});
        const double time = bench::microseconds_per_call(
            [&]
            {
                protocol::parse_inventory(body);
                protocol::parse_load_report(load);
            });
        results.push_back({"read one engine report (resident entries)", resident, time,
                           static_cast<std::int64_t>(body.size() + load.size())});
    }
}

void measure_instance_list(std::vector<measurement>& results)
{
    for (const std::int64_t engines : engine_counts)
    {
        std::vector<state::instance> list;
        for (std::int64_t i = 0; i < engines; ++i)
        {
            state::instance item;
            item.id = "engine-" + std::to_string(i);
            item.kind = state::instance_kind::engine;
            item.address = "10.0.0.1:8000";
            item.zone = "zone-1";
            list.push_back(item);
        }
        const std::string body = protocol::format_instances(list);
        const double time =
            bench::microseconds_per_call([&] { protocol::parse_instances(body); });
        results.push_back({"read the instance list (instances)", engines, time,
                           static_cast<std::int64_t>(body.size())});
    }
}

} // namespace

int main()
{
    std::vector<measurement> results;
    measure_settings(results);
    measure_engine_reports(results);
    measure_instance_list(results);
    bench::print_slopes(results);
    return 0;
}
