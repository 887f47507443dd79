#include "app/gateway/serving/call_record.hpp"

namespace pomelorouter::app
{

using state::now;

call_record::call_record(gateway_state& gateway,
                         const coordination::backend_choice& choice,
                         std::uint32_t output_tokens)
    : shared(gateway),
      id(gateway.loads.begin(
          now(), coordination::backend_chooser::process_key(choice.backend->entry),
          {choice.uncached_tokens, output_tokens, choice.idle_ms}))
{
}

call_record::~call_record()
{
    this->shared.loads.end(now(), this->id, this->result);
    this->shared.loads_changed.notify();
}

void call_record::on_first_byte()
{
    this->shared.loads.on_first_byte(now(), this->id);
    this->shared.loads_changed.notify();
}

} // namespace pomelorouter::app
