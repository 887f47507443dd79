#include "app/gateway/serving/call_record.hpp"

namespace pomelorouter::app
{

using state::now;

namespace
{

double elapsed_ms(state::time_point from, state::time_point to)
{
    return std::chrono::duration<double, std::milli>(to - from).count();
}

} // namespace

call_record::call_record(gateway_state& gateway,
                         const coordination::backend_choice& choice,
                         const coordination::backend_demand& demand)
    : shared(gateway),
      process(choice.backend->process),
      service(demand.model.empty() ? "" : demand.service),
      output_tokens(demand.output_tokens),
      tokens_in_line(choice.uncached_tokens + choice.waiting_tokens),
      started(now()),
      id(gateway.loads.begin(this->started, this->process,
                             {choice.uncached_tokens, demand.output_tokens,
                              choice.usual_ms, demand.memory_tokens(), demand.deadline,
                              !demand.yields}))
{
}

call_record::~call_record()
{
    this->shared.loads.end(now(), this->id, this->result);
    this->shared.loads_changed.notify();
}

void call_record::on_first_byte()
{
    this->first_byte = now();
    this->shared.loads.on_first_byte(this->first_byte, this->id);
    if (!this->service.empty())
    {
        this->shared.chooser.speeds().on_first_byte(
            this->first_byte, this->service, this->process, this->tokens_in_line,
            elapsed_ms(this->started, this->first_byte));
    }
    this->shared.loads_changed.notify();
}

void call_record::on_events(std::uint64_t events)
{
    if (this->service.empty())
        return;
    this->shared.loads.on_events(now(), this->id, events);
}

void call_record::on_stream_end(std::uint64_t events)
{
    if (this->service.empty())
        return;
    const state::time_point end = now();
    const coordination::load_summary load =
        this->shared.loads.summary(end, this->process);
    coordination::stream_sample sample;
    sample.duration_ms = elapsed_ms(this->first_byte, end);
    sample.output_tokens = this->output_tokens;
    sample.events = events;
    const std::uint32_t running = load.active + load.peer_active;
    sample.running = running > 0 ? running - 1 : 0;
    sample.prompt_tokens_per_s = load.prompt_rate;
    this->shared.chooser.speeds().on_stream_end(end, this->service, sample);
}

} // namespace pomelorouter::app
