#pragma once

#include "state/clock.hpp"

#include <optional>

namespace pomelorouter::coordination
{

/// Measures for how long the reads of the platform's store by this gateway have succeeded
/// without interruption. All times are of the boot clock.
class store_contact
{
public:
    /// Processes a response of the store to a read.
    void on_response(state::time_point now);
    /// Processes a read that failed, or the store's return from an older copy.
    void on_interruption() { this->begin.reset(); }
    /// Returns the time between the first and the last of these reads, or nothing if the
    /// last one was too long ago to tell whether the store still responds.
    std::optional<state::milliseconds> duration(state::time_point now) const;

private:
    std::optional<state::time_point> begin;
    state::time_point last{};
};

} // namespace pomelorouter::coordination
