#pragma once

#include "state/counters.hpp"

#include <array>
#include <cstddef>
#include <memory>
#include <string_view>

namespace pomelorouter::transport
{

/// What memory is reserved for.
enum class memory_use
{
    /// Connections of callers.
    connections,
    /// Requests of callers, with bodies that are not large.
    requests,
    /// Large bodies of requests.
    large_bodies,
    /// Responses to callers that are kept until they are complete.
    responses,
    /// Connections and requests on the listeners for readiness checks and address
    /// queries.
    probes,
    /// Connections and requests on the listeners for gateways and operators.
    control,
};

inline constexpr std::size_t memory_use_count = 6;

std::string_view to_string(memory_use use);

/// Decides whether a process may take more memory for its clients. What the process needs
/// for itself is left out of the budget.
class memory_budget
{
public:
    /// Divides the memory of the process.
    explicit memory_budget(std::size_t process_bytes);

    /// Takes `bytes` if the use and its group have room. Returns whether it did.
    bool try_take(memory_use use, std::size_t bytes);
    void give_back(memory_use use, std::size_t bytes);
    /// Returns how much must be given back before a use can take `bytes`.
    std::size_t missing(memory_use use, std::size_t bytes) const;
    /// Whether a reservation of `bytes` has room if nothing else is held.
    bool can_ever_take(memory_use use, std::size_t bytes) const;

    std::size_t held(memory_use use) const;
    /// Largest amount for a use.
    std::size_t limit(memory_use use) const;
    /// Sum of what all clients together may hold.
    std::size_t total() const;
    /// Shows the budget and what holds it as metrics.
    void export_to(state::counter_registry& counters);

private:
    static bool is_of_callers(memory_use use);
    std::size_t held_by_callers() const;

    /// Part of all callers.
    std::size_t callers_limit;
    std::size_t large_bodies_limit;
    std::size_t responses_limit;
    std::size_t probes_limit;
    std::size_t control_limit;
    std::array<std::size_t, memory_use_count> held_bytes{};
    std::array<state::counter*, memory_use_count> gauges{};
};

/// Memory taken from a budget, given back at the end of its life.
class memory_reservation
{
public:
    memory_reservation() = default;
    /// Holds nothing yet. Without a budget every reservation succeeds.
    memory_reservation(std::shared_ptr<memory_budget> source, memory_use reserved_for);
    ~memory_reservation();
    memory_reservation(const memory_reservation&) = delete;
    memory_reservation& operator=(const memory_reservation&) = delete;
    memory_reservation(memory_reservation&& other) noexcept;
    memory_reservation& operator=(memory_reservation&& other) noexcept;

    /// Changes the size. Returns false and changes nothing if there is no room.
    bool resize(std::size_t bytes);
    void release();
    std::size_t bytes() const { return this->held; }
    memory_use use() const { return this->purpose; }

private:
    std::shared_ptr<memory_budget> budget;
    memory_use purpose = memory_use::requests;
    std::size_t held = 0;
};

} // namespace pomelorouter::transport
