#pragma once

#include "app/gateway/serving/gateway_state.hpp"
#include "coordination/backend_choice.hpp"
#include "coordination/backend_loads.hpp"

#include <cstdint>

namespace pomelorouter::app
{

/// Adds one call to the load of its backend server, and removes it when destroyed.
class call_record
{
public:
    call_record(gateway_state& gateway, const coordination::backend_choice& choice,
                std::uint32_t output_tokens);
    ~call_record();
    call_record(const call_record&) = delete;
    call_record& operator=(const call_record&) = delete;

    void on_first_byte();
    void set_result(coordination::call_result value) { this->result = value; }

private:
    gateway_state& shared;
    coordination::backend_loads::call_id id;
    coordination::call_result result = coordination::call_result::cancelled;
};

} // namespace pomelorouter::app
