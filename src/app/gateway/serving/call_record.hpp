#pragma once

#include "app/gateway/serving/gateway_state.hpp"
#include "coordination/backend_choice.hpp"
#include "coordination/backend_loads.hpp"

#include <cstdint>
#include <string>

namespace pomelorouter::app
{

/// Adds one call to the load of its backend server, and removes it when destroyed. Tells
/// what the call shows about the speed of the engines.
class call_record
{
public:
    call_record(gateway_state& gateway, const coordination::backend_choice& choice,
                const coordination::backend_demand& demand);
    ~call_record();
    call_record(const call_record&) = delete;
    call_record& operator=(const call_record&) = delete;

    void on_first_byte();
    /// Records that the stream has `events` events by now.
    void on_events(std::uint64_t events);
    /// Records that the backend server sent the whole stream in this call.
    void on_stream_end(std::uint64_t events);
    void set_result(coordination::call_result value) { this->result = value; }

private:
    gateway_state& shared;
    std::string process;
    /// Service of the engine; empty for plain services.
    std::string service;
    std::uint32_t output_tokens;
    /// Prompt tokens that the engine has to process before its first byte.
    double tokens_in_line;
    state::time_point started{};
    state::time_point first_byte{};
    coordination::backend_loads::call_id id;
    coordination::call_result result = coordination::call_result::cancelled;
};

} // namespace pomelorouter::app
