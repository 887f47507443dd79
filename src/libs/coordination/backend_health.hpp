#pragma once

#include <memory>
#include <string_view>

namespace pomelorouter::coordination
{

/// Health of one backend server as this node's own calls show it.
enum class health
{
    healthy,
    suspect,
    ejected,
    probing,
};

std::string_view to_string(health value);

/// State machine of one backend server. An event that has no transition from the present
/// state changes nothing.
class backend_health
{
public:
    backend_health();
    ~backend_health();
    backend_health(backend_health&&) noexcept;
    backend_health& operator=(backend_health&&) noexcept;

    health state() const;

    /// Its calls are slow, for the first time or still.
    void on_slow();
    /// A call has failed outright.
    void on_failed();
    /// Its calls are as fast as usual.
    void on_normal();
    /// A request was sent to an ejected backend server to see whether it has recovered.
    void on_probe_sent();
    /// The bound on ejected backend servers allows no more.
    void on_spared();

private:
    class machine;

    std::unique_ptr<machine> impl;
};

} // namespace pomelorouter::coordination
