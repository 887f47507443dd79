#pragma once

#include "state/clock.hpp"

#include <cstddef>
#include <memory>
#include <string_view>

namespace pomelorouter::coordination
{

/// Phases of a node's life, in order; none is entered twice.
enum class node_phase
{
    starting,
    serving,
    /// Out of address answers, but still accepting: callers may hold an older answer.
    withdrawing,
    /// No new connections; requests in flight are finished.
    draining,
    stopped,
};

std::string_view to_string(node_phase phase);

/// Times of a planned stop, from the settings in force.
struct drain_times
{
    /// Time for which callers may still use an address that they were told.
    state::milliseconds withdraw{};
    /// Longest time from the first stop request to the end.
    state::milliseconds limit{};
};

/// Decides the steps of a planned stop. A second stop request or the limit ends it at
/// once.
class node_lifecycle
{
public:
    node_lifecycle();
    ~node_lifecycle();
    node_lifecycle(const node_lifecycle&) = delete;
    node_lifecycle& operator=(const node_lifecycle&) = delete;

    /// The node has become ready for the first time.
    void on_ready();
    void on_stop_requested(state::time_point now, const drain_times& times);
    /// Advances by time and by the number of requests in flight.
    void on_tick(state::time_point now, std::size_t requests_in_flight);

    node_phase phase() const;
    /// Whether the stop was cut short with requests in flight.
    bool was_cut_short() const;

private:
    struct machine_holder;
    std::unique_ptr<machine_holder> machine;
};

} // namespace pomelorouter::coordination
