#pragma once

#include "state/error.hpp"
#include "state/fleet.hpp"
#include "transport/log_service.hpp"
#include "transport/peer_sender.hpp"

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

/// The log no longer has the requested records of a stream; the oldest one it has is at
/// offset `first`.
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

/// The instance list of the platform was read.
struct instances_listed
{
    std::vector<state::instance> instances;
};

/// Inventory and load report of an engine.
struct engine_reported
{
    std::string engine;
    state::engine_inventory inventory;
    state::load_report load;
    /// When the inventory was requested; its contents are no older than that.
    state::time_point requested{};
};

/// An engine did not respond to a query.
struct engine_unreachable
{
    std::string engine;
};

/// A message from another node.
struct peer_received
{
    transport::peer_delivery delivery;
};

/// A function to be run on the control thread, for example the callback of an append that
/// has ended.
struct control_task
{
    std::function<void()> run;
};

/// Any event that other threads send to the control thread.
using control_event =
    std::variant<stream_page, stream_truncated, stream_unavailable, instances_listed,
                 engine_reported, engine_unreachable, peer_received, control_task>;

} // namespace pomelorouter::app
