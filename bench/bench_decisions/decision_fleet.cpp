#include "decision_fleet.hpp"

#include <algorithm>
#include <string>

namespace pomelorouter::bench
{

namespace
{

constexpr std::int64_t slots = 8;
constexpr std::uint32_t max_copies = 64; // default of the setting `max_copies`
constexpr std::uint32_t min_copies = 2;
constexpr std::size_t prompt_count = 2000;
constexpr std::size_t request_count = 4096;
constexpr std::uint32_t calls_per_engine_limit = 4;

} // namespace

decision_fleet::decision_fleet(const fleet_size& size, std::uint64_t seed)
    : random(seed), engines(size.engines)
{
    for (std::size_t i = 0; i < this->engines.size(); ++i)
    {
        state::backend_view& engine = this->engines[i];
        engine.id = "engine-" + std::to_string(i);
        engine.incarnation = 1;
        engine.distance_us = this->random.below(6) * 500;
        engine.load.slots = slots;
        engine.load.running = this->random.below(slots);
        engine.load.age_ms = this->random.below(1000);
        engine.load_received = this->time - state::milliseconds(this->random.below(500));
    }
    this->local.bind(this->engines);
    this->make_replicas(size.models);
    this->start_calls();
    this->make_requests();
    this->local.update_medians();
}

void decision_fleet::make_replicas(std::size_t models)
{
    const auto count = static_cast<std::uint32_t>(this->engines.size());
    this->replicas.resize(models);
    for (std::size_t model = 0; model < models; ++model)
    {
        // Every tenth model has the maximum number of copies; the others have fewer.
        const std::uint32_t copy_limit =
            model % 10 == 0 ? max_copies
                            : min_copies + this->random.below(max_copies / 4);
        const std::uint32_t copies = std::min(copy_limit, count);
        const std::uint32_t first = this->random.below(count);
        const std::uint32_t stride = std::max<std::uint32_t>(1, count / copies);
        for (std::uint32_t i = 0; i < copies; ++i)
            this->replicas[model].push_back((first + i * stride) % count);
    }
}

void decision_fleet::start_calls()
{
    for (std::uint32_t i = 0; i < this->engines.size(); ++i)
    {
        const std::uint32_t calls = this->random.below(calls_per_engine_limit);
        for (std::uint32_t call = 0; call < calls; ++call)
        {
            const auto number = this->local.start(
                this->local.slot_of(i), 50 + this->random.below(500),
                this->random.below(10) == 0, this->time - state::milliseconds(400));
            this->local.progress(number, 1, this->time - state::milliseconds(29));
            this->local.wait_again(number, this->time - state::milliseconds(29));
            this->local.progress(number, 1, this->time);
            this->local.wait_again(number, this->time);
        }
    }
}

void decision_fleet::make_requests()
{
    for (std::size_t i = 0; i < prompt_count; ++i)
    {
        const std::string prompt(256 * (1 + this->random.below(8)), 'a');
        this->prompts.emplace_back("prompt-" + std::to_string(i), prompt);
        this->prefixes.record(this->prompts.back(),
                              this->local.slot_of(this->random.below(
                                  static_cast<std::uint32_t>(this->engines.size()))));
    }
    for (std::size_t i = 0; i < request_count; ++i)
    {
        request item;
        item.model =
            this->random.below(static_cast<std::uint32_t>(this->replicas.size()));
        item.prompt = this->random.below(prompt_count);
        item.tokens = 50 + this->random.below(2000);
        item.long_work = item.tokens > 1024;
        this->requests.push_back(item);
    }
}

const decision_fleet::request& decision_fleet::next_request()
{
    this->request_index = (this->request_index + 1) % request_count;
    return this->requests[this->request_index];
}

void decision_fleet::decide(coordination::routing_policy& policy)
{
    const request& item = this->next_request();
    coordination::routing_query query;
    query.candidates = this->replicas[item.model];
    query.engines = this->engines;
    query.load = &this->local;
    query.prefixes = &this->prefixes;
    query.prompt = &this->prompts[item.prompt];
    query.expected_tokens = item.tokens;
    query.long_work = item.long_work;
    query.long_share_percent = 50;
    query.now = this->time;
    this->result_sum += policy.choose(query, this->random).value_or(0);
}

void decision_fleet::find_prefix()
{
    this->result_sum +=
        this->prefixes.find(this->prompts[this->next_request().prompt]).engines.size();
}

void decision_fleet::record_prefix()
{
    const request& item = this->next_request();
    this->prefixes.record(this->prompts[item.prompt],
                          this->local.slot_of(this->replicas[item.model].front()));
}

} // namespace pomelorouter::bench
