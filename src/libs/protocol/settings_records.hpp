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

/// Proposes to replace the settings tree. Accepted only if the current settings version
/// is `base_version`.
struct settings_proposal
{
    record_header header;
    std::string id;
    std::uint64_t base_version = 0;
    std::string author;
    boost::json::value tree;
};

/// Decision on a proposal.
enum class proposal_verdict
{
    accepted,
    /// Another proposal has been accepted since `base_version`.
    conflict,
    /// The tree fails validation.
    invalid,
};

std::string_view to_string(proposal_verdict verdict);

/// Verdict on one proposal. All nodes reach the same verdict.
struct proposal_result
{
    std::string id;
    proposal_verdict verdict = proposal_verdict::accepted;
    /// Settings version after the proposal was processed.
    std::uint64_t version = 0;
    std::string reason;
};

/// The state after applying all records up to and including the offset `upto`.
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
/// Parses a record of the settings stream. Throws `state::error` if `data` is not one.
settings_record parse_settings_record(std::string_view data);

} // namespace pomelorouter::protocol
