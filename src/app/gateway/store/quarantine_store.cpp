#include "app/gateway/store/quarantine_store.hpp"

#include "state/error.hpp"
#include "state/json_reader.hpp"
#include "state/log.hpp"
#include "transport/background_task.hpp"
#include "transport/pause.hpp"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <chrono>
#include <limits>
#include <utility>

namespace pomelorouter::app
{

namespace asio = boost::asio;
using coordination::part_key;
using state::milliseconds;

namespace
{

constexpr milliseconds aggregator_poll{20};
constexpr milliseconds retry_delay{500};
constexpr int max_append_attempts = 5;
constexpr std::int64_t max_round = 1000000;
constexpr std::int64_t max_time = std::numeric_limits<std::int64_t>::max() / 2;

/// The wall clock is used since the steady clock of another process means nothing here.
std::int64_t unix_ms()
{
    return std::chrono::duration_cast<milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

std::string record_key(const part_key& key)
{
    return coordination::format_part_ids({key.part}) + "/" + key.service;
}

std::string encode(const coordination::quarantined_part& part)
{
    const auto left = std::chrono::duration_cast<milliseconds>(part.until - state::now());
    boost::json::array processes;
    for (const std::string& process : part.processes)
        processes.emplace_back(process);
    return boost::json::serialize(
        boost::json::object{{"service", part.key.service},
                            {"part", part.key.part},
                            {"round", part.round},
                            {"begun_ms", unix_ms()},
                            {"until_ms", unix_ms() + left.count()},
                            {"processes", std::move(processes)}});
}

protocol::suspect_part decode(const keyed_record& record)
{
    const boost::json::value value = state::parse_json(record.value, record.key);
    state::json_reader reader(value, record.key);
    protocol::suspect_part part;
    part.service = reader.get_string("service");
    part.part = reader.get_uint64("part");
    part.round = static_cast<int>(reader.get_int("round", 1, max_round));
    const milliseconds age(unix_ms() - reader.get_int("begun_ms", 0, max_time));
    part.remaining = milliseconds(reader.get_int("until_ms", 0, max_time) - unix_ms());
    for (const boost::json::value& process : reader.get_array("processes"))
    {
        if (process.is_string())
            part.crashes.push_back(
                {std::string(process.get_string()), std::max(age, milliseconds(0)), {}});
    }
    return part;
}

} // namespace

quarantine_store::quarantine_store(gateway_state& gateway, keyed_store& platform_store,
                                   decision_callback is_led, decision_callback must_wait,
                                   loaded_callback on_loaded)
    : shared(gateway),
      store(platform_store),
      has_aggregator(std::move(is_led)),
      awaits_aggregator(std::move(must_wait)),
      loaded(std::move(on_loaded))
{
}

void quarantine_store::start()
{
    transport::spawn_task(this->shared.executor, "quarantine_load", this->load());
}

void quarantine_store::save(const coordination::quarantined_part& part)
{
    transport::spawn_task(this->shared.executor, "quarantine_save",
                          this->append(record_key(part.key), encode(part)));
}

void quarantine_store::remove(const part_key& key)
{
    transport::spawn_task(this->shared.executor, "quarantine_remove",
                          this->append(record_key(key), ""));
}

asio::awaitable<void> quarantine_store::load()
{
    while (this->awaits_aggregator())
        co_await transport::pause(this->shared.executor, aggregator_poll);
    while (!this->has_aggregator())
    {
        try
        {
            const keyed_page page =
                co_await this->store.newest(store_topic::prompt_quarantine);
            std::vector<protocol::suspect_part> parts;
            for (const keyed_record& record : page.records)
            {
                if (!record.is_removal && !this->read(record, parts))
                    co_await this->append(record.key, "");
            }
            this->loaded(parts);
            co_return;
        }
        catch (const state::error& failure)
        {
            state::log_event(state::log_level::info, "quarantine_not_read")
                .field("problem", failure.what());
        }
        co_await transport::pause(this->shared.executor, retry_delay);
    }
}

bool quarantine_store::read(const keyed_record& record,
                            std::vector<protocol::suspect_part>& parts) const
{
    try
    {
        protocol::suspect_part part = decode(record);
        if (part.remaining < -coordination::quarantine_length(part.round))
            return false;
        parts.push_back(std::move(part));
        return true;
    }
    catch (const state::error& failure)
    {
        state::log_event(state::log_level::warning, "quarantine_unreadable")
            .field("key", record.key)
            .field("problem", failure.what());
        return false;
    }
}

asio::awaitable<void> quarantine_store::append(std::string key, std::string value)
{
    for (int attempt = 1; attempt <= max_append_attempts; ++attempt)
    {
        try
        {
            co_await this->store.append(store_topic::prompt_quarantine, key, value,
                                        std::nullopt);
            co_return;
        }
        catch (const state::error& failure)
        {
            state::log_event(state::log_level::info, "quarantine_not_saved")
                .field("key", key)
                .field("attempt", attempt)
                .field("problem", failure.what());
        }
        co_await transport::pause(this->shared.executor, attempt * retry_delay);
    }
}

} // namespace pomelorouter::app
