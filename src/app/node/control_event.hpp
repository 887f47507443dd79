#pragma once

#include "state/error.hpp"
#include "state/fleet.hpp"
#include "transport/log_service.hpp"
#include "transport/peer_port.hpp"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace pomelorouter::app
{

/// Records of a stream, in order.
struct stream_page
{
    std::string stream;
    transport::log_page page;
};

/// The log keeps records of a stream from `first` only, which is later than what was
/// asked for.
struct stream_truncated
{
    std::string stream;
    std::uint64_t first = 0;
};

/// A stream could not be read.
struct stream_unavailable
{
    std::string stream;
};

/// The platform's list of instances.
struct instances_listed
{
    std::vector<state::instance> instances;
};

/// What an engine says of its memory and load.
struct engine_reported
{
    std::string engine;
    state::engine_inventory inventory;
    state::load_report load;
    /// When the inventory was asked for; it shows at least what was true then.
    state::time_point requested{};
};

/// An engine did not answer a query.
struct engine_unreachable
{
    std::string engine;
};

/// A message of another node.
struct peer_received
{
    transport::peer_delivery delivery;
};

/// Work for the control thread that a component has scheduled for itself, for example
/// when an append has ended.
struct control_task
{
    std::function<void()> run;
};

/// All that other threads send to the control thread.
using control_event =
    std::variant<stream_page, stream_truncated, stream_unavailable, instances_listed,
                 engine_reported, engine_unreachable, peer_received, control_task>;

} // namespace pomelorouter::app
