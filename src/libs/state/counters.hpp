#pragma once

#include <atomic>
#include <cstdint>
#include <deque>
#include <mutex>
#include <string>
#include <string_view>

namespace pomelorouter::state
{

/// A counter or gauge that any thread may update and that `/metrics` exports.
class counter
{
public:
    counter(std::string name, std::string help, bool is_gauge);

    void add(std::int64_t amount = 1)
    {
        this->value.fetch_add(amount, std::memory_order_relaxed);
    }
    void set(std::int64_t amount)
    {
        this->value.store(amount, std::memory_order_relaxed);
    }
    std::int64_t get() const { return this->value.load(std::memory_order_relaxed); }

    const std::string& name() const { return this->metric_name; }
    const std::string& help() const { return this->help_text; }
    bool is_gauge() const { return this->gauge; }

private:
    std::string metric_name;
    std::string help_text;
    bool gauge;
    std::atomic<std::int64_t> value{0};
};

/// Owns the counters of a process. References stay valid for the life of the registry.
class counter_registry
{
public:
    /// Returns the monotonic counter called `name`; creates it on first use.
    counter& count(std::string_view name, std::string_view help);
    /// Returns the gauge called `name`; creates it on first use.
    counter& gauge(std::string_view name, std::string_view help);

    /// Renders all counters in the Prometheus text exposition format.
    std::string render() const;
    /// Returns the value of a counter or gauge, or 0 if none has that name.
    std::int64_t value(std::string_view name) const;

private:
    counter& find_or_create(std::string_view name, std::string_view help, bool is_gauge);

    mutable std::mutex mutex;
    std::deque<counter> counters;
};

} // namespace pomelorouter::state
