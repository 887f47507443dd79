#include "coordination/membership.hpp"
#include "coordination/order_ledger.hpp"
#include "coordination/replicated_claims.hpp"
#include "coordination/replicated_settings.hpp"
#include "measurement.hpp"
#include "protocol/engine_api.hpp"
#include "protocol/fleet_records.hpp"
#include "protocol/peer_codec.hpp"
#include "protocol/platform_api.hpp"
#include "protocol/settings_records.hpp"
#include "state/settings.hpp"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <array>
#include <string>

namespace
{

using namespace pomelorouter; // NOLINT(google-build-using-namespace): main file
using bench::measurement;

constexpr std::array<std::int64_t, 3> model_counts{31, 100, 310};
constexpr std::array<std::int64_t, 3> engine_counts{60, 200, 600};
constexpr std::int64_t adapters_per_model = 4;
constexpr std::int64_t model_bytes = 16LL << 30;

boost::json::value make_settings_tree(std::int64_t models)
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
        const boost::json::value tree = make_settings_tree(models);
        protocol::settings_proposal proposal;
        proposal.id = "p";
        proposal.tree = tree;
        const std::string record = protocol::format_settings_record(proposal);
        const double resolve_us = bench::microseconds_per_call(
            [&] { state::resolve_settings(tree, "settings"); });
        results.push_back({"resolve settings (models)", models, resolve_us, 0});
        const double fold_us = bench::microseconds_per_call(
            [&]
            {
                coordination::replicated_settings fold;
                fold.begin_at(0);
                fold.apply(0, record);
            });
        results.push_back({"fold a settings proposal (models)", models, fold_us,
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
        const double time_us = bench::microseconds_per_call(
            [&]
            {
                protocol::parse_inventory(body);
                protocol::parse_load_report(load);
            });
        results.push_back({"read one engine report (resident entries)", resident, time_us,
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
        const double time_us =
            bench::microseconds_per_call([&] { protocol::parse_instances(body); });
        results.push_back({"read the instance list (instances)", engines, time_us,
                           static_cast<std::int64_t>(body.size())});
    }
}

constexpr std::array<std::int64_t, 3> node_counts{36, 120, 360};

/// Returns the membership of node-0 with `nodes` nodes, all of them alive.
coordination::membership make_membership(std::int64_t nodes, state::time_point now)
{
    coordination::membership members("node-0", 1, "10.0.0.1:9000", 1);
    std::vector<state::instance> list;
    for (std::int64_t i = 0; i < nodes; ++i)
    {
        state::instance item;
        item.id = "node-" + std::to_string(i);
        item.address = "10.0.0.1:8000";
        item.peer_address = "10.0.0.1:9000";
        item.zone = "zone-1";
        item.incarnation = 1;
        list.push_back(item);
    }
    members.on_list(list, now);
    for (std::int64_t i = 1; i < nodes; ++i)
    {
        protocol::heartbeat message;
        message.origin = {"node-" + std::to_string(i), 1, 1, true, false, false};
        message.peer_address = "10.0.0.1:9000";
        members.on_heartbeat(message, now);
    }
    return members;
}

void measure_membership(std::vector<measurement>& results)
{
    for (const std::int64_t nodes : node_counts)
    {
        state::time_point now{state::seconds(1000)};
        coordination::membership members = make_membership(nodes, now);
        std::int64_t frame_bytes = 0;
        std::int64_t frames = 0;
        std::int64_t rounds = 0;
        // The membership work of one node in one second: ten ticks, with the heartbeats
        // that it sends and as many that it receives.
        const double time_us = bench::microseconds_per_call(
            [&]
            {
                for (int tick = 0; tick < 10; ++tick)
                {
                    now += state::milliseconds(100);
                    for (auto& outgoing : members.tick(now))
                    {
                        const std::string frame = protocol::encode_peer_frame(
                            {"node-0", std::move(outgoing.message)});
                        frame_bytes += static_cast<std::int64_t>(frame.size());
                        ++frames;
                        const auto received =
                            protocol::decode_peer_body(std::string_view(frame).substr(
                                sizeof(protocol::peer_frame_header)));
                        members.on_heartbeat(
                            std::get<protocol::heartbeat>(received.message), now);
                    }
                }
                ++rounds;
            });
        results.push_back({"membership, one second (nodes)", nodes, time_us,
                           frame_bytes / std::max<std::int64_t>(1, rounds)});
    }
}

void measure_order_ledger(std::vector<measurement>& results)
{
    for (const std::int64_t engines : engine_counts)
    {
        coordination::order_ledger ledger;
        ledger.begin_at(0);
        protocol::lease_claim claim;
        claim.header.writer = "node-0";
        claim.header.sequence = 1;
        claim.scope = "region-1";
        std::uint64_t offset = 0;
        ledger.apply(offset++, protocol::format_fleet_record(claim));
        const std::int64_t before = bench::heap_bytes();
        for (std::int64_t i = 0; i < engines; ++i)
        {
            protocol::engine_seen record;
            record.header.writer = "node-0";
            record.header.sequence = static_cast<std::uint64_t>(i) + 2;
            record.epoch = 1;
            record.engine = "engine-" + std::to_string(i);
            record.limit_bytes = 80LL << 30;
            for (int model = 0; model < 6; ++model)
            {
                record.resident.push_back(
                    {"model-" + std::to_string(model), "1", "", model_bytes, true});
            }
            ledger.apply(offset++, protocol::format_fleet_record(record));
        }
        results.push_back({"order ledger held in memory (engines)", engines, 0.0,
                           bench::heap_bytes() - before});
        std::string snapshot;
        const double time_us = bench::microseconds_per_call(
            [&] { snapshot = protocol::format_fleet_record(ledger.snapshot()); });
        results.push_back({"fleet snapshot (engines)", engines, time_us,
                           static_cast<std::int64_t>(snapshot.size())});
    }
}

void measure_claims(std::vector<measurement>& results)
{
    for (const std::int64_t claims : {1000, 4000, 16000})
    {
        coordination::replicated_claims fold;
        fold.begin_at(0);
        const std::int64_t before = bench::heap_bytes();
        constexpr std::int64_t batch_claims = 100;
        std::int64_t bytes = 0;
        const auto begin = std::chrono::steady_clock::now();
        for (std::int64_t batch = 0; batch < claims / batch_claims; ++batch)
        {
            protocol::claim_batch record;
            record.header.writer = "node-0";
            record.header.sequence = static_cast<std::uint64_t>(batch) + 1;
            record.time_s = 1000;
            for (std::int64_t i = 0; i < batch_claims; ++i)
            {
                protocol::key_claim claim;
                claim.key = "0123456789abcdef" + std::to_string(batch * batch_claims + i);
                claim.request = "0123456789abcdef0123456789abcdef";
                claim.lifetime_s = 86400;
                record.claims.push_back(claim);
            }
            const std::string encoded = protocol::format_claim_record(record);
            bytes += static_cast<std::int64_t>(encoded.size());
            fold.apply(static_cast<std::uint64_t>(batch), encoded);
        }
        const std::chrono::duration<double, std::micro> elapsed =
            std::chrono::steady_clock::now() - begin;
        results.push_back(
            {"fold claims, batches of 100 (claims)", claims, elapsed.count(), bytes});
        results.push_back({"claims held in memory (claims)", claims, 0.0,
                           bench::heap_bytes() - before});
    }
}

} // namespace

int main()
{
    std::vector<measurement> results;
    measure_settings(results);
    measure_engine_reports(results);
    measure_instance_list(results);
    measure_membership(results);
    measure_order_ledger(results);
    measure_claims(results);
    bench::print_slopes(results);
    return 0;
}
