#pragma once

#include "protocol/record_header.hpp"

#include <boost/json/value.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace pomelorouter::protocol
{

/// Asks for the settings tree to be replaced, if it is still at `base_version`.
struct settings_proposal
{
    record_header header;
    std::string id;
    std::uint64_t base_version = 0;
    std::string author;
    boost::json::value tree;
};

/// What became of a proposal.
enum class proposal_verdict
{
    accepted,
    /// Another proposal was accepted after the version that this one was based on.
    conflict,
    /// The tree does not pass the checks.
    invalid,
};

std::string_view to_string(proposal_verdict verdict);

/// The verdict on one proposal, the same on every node.
struct proposal_result
{
    std::string id;
    proposal_verdict verdict = proposal_verdict::accepted;
    /// Settings version after the proposal was handled.
    std::uint64_t version = 0;
    std::string reason;
};

/// The state after all records up to the offset `upto`, that one included.
struct settings_snapshot
{
    record_header header;
    std::uint64_t version = 0;
    std::uint64_t upto = 0;
    boost::json::value tree;
    std::vector<proposal_result> recent;
};

using settings_record = std::variant<settings_proposal, settings_snapshot>;

std::string format_settings_record(const settings_proposal& record);
std::string format_settings_record(const settings_snapshot& record);
/// Throws `state::error` if `data` is no record of the settings stream.
settings_record parse_settings_record(std::string_view data);

} // namespace pomelorouter::protocol
