#pragma once

#include <memory>
#include <string_view>

namespace pomelorouter::coordination
{

/// Health of one backend server as observed by the calls of this node.
enum class health
{
    healthy,
    suspect,
    ejected,
    probing,
};

std::string_view to_string(health value);

/// State machine for the health of one backend server. Events without a transition from
/// the present state are ignored.
class backend_health
{
public:
    backend_health();
    ~backend_health();
    backend_health(backend_health&&) noexcept;
    backend_health& operator=(backend_health&&) noexcept;

    health state() const;

    /// Calls are slow, for the first time or still.
    void on_slow();
    /// A call has failed.
    void on_failed();
    /// Calls are as fast as usual.
    void on_normal();
    /// A probe was sent to an ejected backend server to find out whether it has
    /// recovered.
    void on_probe_sent();
    /// The backend server is reinstated since too many are ejected.
    void on_reinstated();

private:
    class machine;

    std::unique_ptr<machine> impl;
};

} // namespace pomelorouter::coordination
