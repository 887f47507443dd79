#pragma once

#include "state/clock.hpp"

#include <cstddef>
#include <memory>
#include <string_view>

namespace pomelorouter::coordination
{

/// Lifecycle phases of a node, in order; no phase is entered twice.
enum class node_phase
{
    starting,
    serving,
    /// No longer listed in address answers, but still accepting connections, since
    /// callers may use an older answer.
    withdrawing,
    /// Accepts no new connections and finishes the requests in flight.
    draining,
    stopped,
};

std::string_view to_string(node_phase phase);

/// Durations of a planned stop, from the present settings.
struct drain_times
{
    /// Time for which callers may still use an address that they received.
    state::milliseconds withdraw{};
    /// Maximum time from the first stop request to the end of the process.
    state::milliseconds limit{};
};

/// State machine for the lifecycle of a node. A second stop request, or reaching the time
/// limit, stops the node at once.
class node_lifecycle
{
public:
    node_lifecycle();
    ~node_lifecycle();
    node_lifecycle(const node_lifecycle&) = delete;
    node_lifecycle& operator=(const node_lifecycle&) = delete;

    /// Records that the node has become ready for the first time.
    void on_ready();
    void on_stop_requested(state::time_point now, const drain_times& times);
    /// Advances the state according to the time and the number of requests in flight.
    void on_tick(state::time_point now, std::size_t requests_in_flight);

    node_phase phase() const;
    /// Whether a second stop request or the time limit ended the stop early.
    bool was_cut_short() const;

private:
    struct machine_holder;
    std::unique_ptr<machine_holder> machine;
};

} // namespace pomelorouter::coordination
