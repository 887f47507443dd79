#pragma once

#include "state/clock.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace pomelorouter::coordination
{

/// A call that lost its connection before the backend server began to answer it.
struct unanswered_call
{
    /// The caller's id of the request.
    std::string request;
    /// Ids of the prompt parts that other requests may share, in the order of the prompt.
    std::vector<std::uint64_t> parts;
    state::time_point sent_at{};
    /// Id of the last prompt part, which belongs to the request or to its session.
    std::optional<std::uint64_t> own_part = std::nullopt;
};

/// The end of a backend server's process while calls to it were in progress.
struct backend_crash
{
    std::string service;
    /// Identifies the process, see `backend_chooser::process_key`.
    std::string process;
    /// When the first connection was lost.
    state::time_point crashed_at{};
    std::vector<unanswered_call> unanswered;
    /// Calls that had begun to be answered.
    std::size_t interrupted_answers = 0;
};

/// Formats ids of prompt parts for log lines and messages, in hexadecimal, as callers
/// send them.
std::string format_part_ids(const std::vector<std::uint64_t>& parts);

} // namespace pomelorouter::coordination
