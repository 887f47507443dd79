#include "transport/memory_budget.hpp"

#include "state/enum_table.hpp"

#include <algorithm>
#include <utility>

namespace pomelorouter::transport
{

namespace
{

constexpr std::array<state::enum_name<memory_use>, memory_use_count> use_names{{
    {memory_use::connections, "connections"},
    {memory_use::requests, "requests"},
    {memory_use::large_bodies, "large_bodies"},
    {memory_use::responses, "responses"},
    {memory_use::probes, "probes"},
    {memory_use::control, "control"},
}};

/// Callers get nine sixteenths of the memory. The rest is for the program, what it reads
/// from the store, backend servers and other gateways, and fragments of the heap.
constexpr std::size_t callers_divisor = 16;
constexpr std::size_t callers_numerator = 9;
/// Large bodies get five eighths of it and responses an eighth, so that there is room for
/// ordinary requests.
constexpr std::size_t large_bodies_divisor = 8;
constexpr std::size_t large_bodies_numerator = 5;
constexpr std::size_t responses_divisor = 8;
constexpr std::size_t probes_divisor = 16;
constexpr std::size_t control_divisor = 16;

std::size_t index_of(memory_use use)
{
    return static_cast<std::size_t>(use);
}

} // namespace

std::string_view to_string(memory_use use)
{
    return name_of(use_names, use);
}

memory_budget::memory_budget(std::size_t process_bytes)
    : callers_limit(process_bytes / callers_divisor * callers_numerator),
      large_bodies_limit(this->callers_limit / large_bodies_divisor *
                         large_bodies_numerator),
      responses_limit(this->callers_limit / responses_divisor),
      probes_limit(process_bytes / probes_divisor),
      control_limit(process_bytes / control_divisor)
{
}

bool memory_budget::try_take(memory_use use, std::size_t bytes)
{
    if (this->missing(use, bytes) > 0)
        return false;
    this->held_bytes[index_of(use)] += bytes;
    if (this->gauges[index_of(use)] != nullptr)
        this->gauges[index_of(use)]->add(static_cast<std::int64_t>(bytes));
    return true;
}

void memory_budget::give_back(memory_use use, std::size_t bytes)
{
    const std::size_t given = std::min(bytes, this->held_bytes[index_of(use)]);
    this->held_bytes[index_of(use)] -= given;
    if (this->gauges[index_of(use)] != nullptr)
        this->gauges[index_of(use)]->add(-static_cast<std::int64_t>(given));
}

std::size_t memory_budget::missing(memory_use use, std::size_t bytes) const
{
    const auto lack = [bytes](std::size_t taken, std::size_t limit)
    {
        const std::size_t room = limit - std::min(taken, limit);
        return bytes - std::min(bytes, room);
    };
    const std::size_t own = lack(this->held(use), this->limit(use));
    if (!is_of_callers(use))
        return own;
    return std::max(own, lack(this->held_by_callers(), this->callers_limit));
}

bool memory_budget::can_ever_take(memory_use use, std::size_t bytes) const
{
    return bytes <= this->limit(use);
}

std::size_t memory_budget::held(memory_use use) const
{
    return this->held_bytes[index_of(use)];
}

std::size_t memory_budget::limit(memory_use use) const
{
    switch (use)
    {
    case memory_use::large_bodies:
        return this->large_bodies_limit;
    case memory_use::responses:
        return this->responses_limit;
    case memory_use::probes:
        return this->probes_limit;
    case memory_use::control:
        return this->control_limit;
    case memory_use::connections:
    case memory_use::requests:
        break;
    }
    return this->callers_limit;
}

std::size_t memory_budget::total() const
{
    return this->callers_limit + this->probes_limit + this->control_limit;
}

bool memory_budget::is_of_callers(memory_use use)
{
    return use != memory_use::probes && use != memory_use::control;
}

std::size_t memory_budget::held_by_callers() const
{
    return this->held(memory_use::connections) + this->held(memory_use::requests) +
           this->held(memory_use::large_bodies) + this->held(memory_use::responses);
}

void memory_budget::export_to(state::counter_registry& counters)
{
    counters.gauge("memory_budget_bytes", "memory that all clients together may hold")
        .set(static_cast<std::int64_t>(this->total()));
    const auto add = [this](memory_use use, state::counter& gauge)
    {
        this->gauges[index_of(use)] = &gauge;
        gauge.set(static_cast<std::int64_t>(this->held(use)));
    };
    add(memory_use::connections,
        counters.gauge("memory_connections_bytes", "held for connections of callers"));
    add(memory_use::requests,
        counters.gauge("memory_requests_bytes", "held for requests of callers"));
    add(memory_use::large_bodies,
        counters.gauge("memory_large_bodies_bytes", "held for large request bodies"));
    add(memory_use::responses,
        counters.gauge("memory_responses_bytes", "held for responses to callers"));
    add(memory_use::probes,
        counters.gauge("memory_probes_bytes",
                       "held for readiness checks and address queries"));
    add(memory_use::control,
        counters.gauge("memory_control_bytes", "held for gateways and operators"));
}

memory_reservation::memory_reservation(std::shared_ptr<memory_budget> source,
                                       memory_use reserved_for)
    : budget(std::move(source)), purpose(reserved_for)
{
}

memory_reservation::~memory_reservation()
{
    this->release();
}

memory_reservation::memory_reservation(memory_reservation&& other) noexcept
    : budget(std::move(other.budget)),
      purpose(other.purpose),
      held(std::exchange(other.held, 0))
{
}

memory_reservation& memory_reservation::operator=(memory_reservation&& other) noexcept
{
    if (this == &other)
        return *this;
    this->release();
    this->budget = std::move(other.budget);
    this->purpose = other.purpose;
    this->held = std::exchange(other.held, 0);
    return *this;
}

bool memory_reservation::resize(std::size_t bytes)
{
    if (this->budget && bytes > this->held &&
        !this->budget->try_take(this->purpose, bytes - this->held))
        return false;
    if (this->budget && bytes < this->held)
        this->budget->give_back(this->purpose, this->held - bytes);
    this->held = bytes;
    return true;
}

void memory_reservation::release()
{
    this->resize(0);
}

} // namespace pomelorouter::transport
