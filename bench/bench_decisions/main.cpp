#include "allocation_count.hpp"
#include "coordination/admission.hpp"
#include "coordination/local_load.hpp"
#include "coordination/prefix_index.hpp"
#include "coordination/routing_policy.hpp"
#include "coordination/slow_engine_detector.hpp"
#include "decision_fleet.hpp"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <boost/program_options/options_description.hpp>
#include <boost/program_options/parsers.hpp>
#include <boost/program_options/variables_map.hpp>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <functional>
#include <iostream>
#include <string>
#include <vector>

namespace options = boost::program_options;
using namespace pomelorouter;        // NOLINT(google-build-using-namespace): main file
using namespace pomelorouter::bench; // NOLINT(google-build-using-namespace): main file

namespace
{

constexpr std::size_t rounds = 15;

/// Result of one operation: `ns` has the mean time of an operation for each round, while
/// `operations` and `allocations` are totals over all rounds.
struct measurement
{
    std::string name;
    std::size_t engines = 0;
    std::size_t models = 0;
    std::uint64_t operations = 0;
    std::uint64_t allocations = 0;
    std::vector<double> ns;

    double median_ns() const
    {
        std::vector<double> sorted = this->ns;
        std::sort(sorted.begin(), sorted.end());
        return sorted[sorted.size() / 2];
    }
    double slowest_ns() const
    {
        return *std::max_element(this->ns.begin(), this->ns.end());
    }
};

void measure(measurement& result, std::uint64_t count,
             const std::function<void()>& operation)
{
    const std::uint64_t allocations_before = allocation_count();
    const auto begin = std::chrono::steady_clock::now();
    for (std::uint64_t i = 0; i < count; ++i)
        operation();
    const auto elapsed = std::chrono::steady_clock::now() - begin;
    result.allocations += allocation_count() - allocations_before;
    result.operations += count;
    result.ns.push_back(std::chrono::duration<double, std::nano>(elapsed).count() /
                        static_cast<double>(count));
}

measurement make_measurement(const std::string& name, const fleet_size& size)
{
    measurement result;
    result.name = name;
    result.engines = size.engines;
    result.models = size.models;
    return result;
}

/// Measures all operations once in every round, so that other load on the machine affects
/// all of them alike and their ratios remain valid.
std::vector<measurement> measure_fleet(const fleet_size& size, std::uint64_t seed,
                                       std::uint64_t count)
{
    constexpr std::array<state::routing_policy_kind, 4> kinds{
        state::routing_policy_kind::random, state::routing_policy_kind::round_robin,
        state::routing_policy_kind::least_in_flight,
        state::routing_policy_kind::expected_wait};
    decision_fleet fleet(size, seed);
    std::vector<measurement> results;
    std::vector<std::unique_ptr<coordination::routing_policy>> policies;
    for (const auto kind : kinds)
    {
        results.push_back(make_measurement(std::string(state::to_string(kind)), size));
        policies.push_back(coordination::make_routing_policy(kind));
    }
    results.push_back(make_measurement("prefix_find", size));
    results.push_back(make_measurement("prefix_record", size));
    results.push_back(make_measurement("admission", size));
    results.push_back(make_measurement("detector_tick", size));
    coordination::slow_engine_detector detector(fleet.load());
    coordination::admission admission_control;
    coordination::admission_limits limits;
    limits.service_in_flight = 1000;
    coordination::admission_request request;
    request.model = "model-1";
    request.deadline = fleet.now() + state::seconds(30);
    detector.tick(fleet.now());
    // Never released, so that the model's entry stays in the table for all rounds.
    admission_control.offer(request, limits, fleet.now());
    for (std::size_t round = 0; round < rounds; ++round)
    {
        for (std::size_t i = 0; i < policies.size(); ++i)
        {
            measure(results[i], count, [&] { fleet.decide(*policies[i]); });
        }
        measure(results[4], count, [&] { fleet.find_prefix(); });
        measure(results[5], count, [&] { fleet.record_prefix(); });
        measure(results[6], count,
                [&]
                {
                    admission_control.offer(request, limits, fleet.now());
                    admission_control.release(request.model, state::milliseconds(10));
                });
        measure(results[7], std::max<std::uint64_t>(count / 1000, 1),
                [&] { detector.tick(fleet.now()); });
    }
    return results;
}

/// Returns whether the program uses the operator new that counts allocations; without it
/// the counts would be 0 whatever the operations allocate.
bool allocations_are_counted()
{
    const std::uint64_t before = allocation_count();
    const std::vector<int> probe(1000, 1);
    return probe.size() == 1000 && allocation_count() > before;
}

boost::json::object to_json(const measurement& item, double base_ns)
{
    return {{"name", item.name},
            {"engines", item.engines},
            {"models", item.models},
            {"median_ns", item.median_ns()},
            {"slowest_round_ns", item.slowest_ns()},
            {"ratio_to_random", item.median_ns() / base_ns},
            {"operations", item.operations},
            {"allocations", item.allocations}};
}

void print(const measurement& item, double base_ns)
{
    std::printf("%-16s %8zu %8zu %12.1f %14.1f %10.2f %12llu\n", item.name.c_str(),
                item.engines, item.models, item.median_ns(), item.slowest_ns(),
                item.median_ns() / base_ns,
                static_cast<unsigned long long>(item.allocations));
}

} // namespace

int main(int argc, char** argv)
{
    options::options_description allowed("Options");
    allowed.add_options()("help", "prints the options")(
        "seed", options::value<std::uint64_t>()->default_value(1),
        "seed of the simulated fleet and its requests")(
        "count", options::value<std::uint64_t>()->default_value(100000),
        "decisions in each round")("json", "prints JSON instead of the table");
    options::variables_map values;
    try
    {
        options::store(options::parse_command_line(argc, argv, allowed), values);
        options::notify(values);
    }
    catch (const options::error& failure)
    {
        std::cerr << "error: " << failure.what() << "\n" << allowed;
        return 2;
    }
    if (values.count("help") > 0)
    {
        std::cout << allowed;
        return 0;
    }
    if (!allocations_are_counted())
    {
        std::cerr << "error: the program does not use the operator new that counts "
                     "allocations\n";
        return 1;
    }
    const bool as_json = values.count("json") > 0;
    const auto seed = values["seed"].as<std::uint64_t>();
    const auto count = std::max<std::uint64_t>(values["count"].as<std::uint64_t>(), 1);
    boost::json::array rows;
    if (!as_json)
        std::printf("seed %llu, %zu rounds of %llu\n%-16s %8s %8s %12s %14s %10s %12s\n",
                    static_cast<unsigned long long>(seed), rounds,
                    static_cast<unsigned long long>(count), "operation", "engines",
                    "models", "median ns", "slowest ns", "x random", "allocations");
    for (const fleet_size& size :
         {fleet_size{18, 30}, fleet_size{150, 100}, fleet_size{600, 310}})
    {
        const auto results = measure_fleet(size, seed, count);
        for (const measurement& item : results)
        {
            const double base_ns = results.front().median_ns();
            if (as_json)
                rows.push_back(to_json(item, base_ns));
            else
                print(item, base_ns);
        }
    }
    if (as_json)
    {
        boost::json::object document;
        document["seed"] = seed;
        document["count"] = count;
        document["rounds"] = rounds;
        document["results"] = std::move(rows);
        std::cout << boost::json::serialize(document) << "\n";
    }
    return 0;
}
