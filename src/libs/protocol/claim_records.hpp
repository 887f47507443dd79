#pragma once

#include "protocol/record_header.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace pomelorouter::protocol
{

/// Largest response body that is recorded with an outcome.
inline constexpr std::size_t max_outcome_body_bytes = 1024;

/// Asks for the right to run the request with a caller-chosen key.
struct key_claim
{
    /// Hash of service and key.
    std::string key;
    /// Hash of method, path and body, so that a key used for another request is noticed.
    std::string request;
    /// Wall time of the claim, in seconds.
    std::int64_t time_s = 0;
    /// Time the claim lives; part of the record, so that a change of the setting does not
    /// make nodes disagree.
    std::int64_t lifetime_s = 0;

    bool operator==(const key_claim&) const = default;
};

/// How the request of a claim ended.
enum class outcome_result
{
    /// The backend server answered.
    done,
    /// Nothing was run; the key can be used again.
    not_run,
    /// The request was sent and its answer was lost.
    unknown,
};

std::string_view to_string(outcome_result result);

/// Recorded by the holder of a claim.
struct key_outcome
{
    std::string key;
    outcome_result result = outcome_result::done;
    /// HTTP status of the answer; 0 unless `done`.
    std::int64_t status = 0;
    std::string content_type;
    std::string body;
    /// False if the body was too large or no text.
    bool body_kept = false;

    bool operator==(const key_outcome&) const = default;
};

/// Claims and outcomes of one node, numbered by `header.sequence`.
struct claim_batch
{
    record_header header;
    /// Wall time of the append, in seconds; a batch that is sent again has a new one.
    std::int64_t time_s = 0;
    std::vector<key_claim> claims;
    std::vector<key_outcome> outcomes;
};

/// A claim in a snapshot, with its holder.
struct held_claim
{
    key_claim claim;
    std::string writer;
    std::uint64_t incarnation = 0;
};

/// Sequence number of the last batch of a process that was folded.
struct claim_writer
{
    std::string writer;
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    std::int64_t time_s = 0;
};

/// The state after all records up to the offset `upto`, that one included.
struct claims_snapshot
{
    record_header header;
    std::uint64_t upto = 0;
    /// Latest time of a claim.
    std::int64_t time_s = 0;
    std::vector<held_claim> claims;
    std::vector<key_outcome> outcomes;
    std::vector<claim_writer> writers;
};

using claim_record = std::variant<claim_batch, claims_snapshot>;

std::string format_claim_record(const claim_batch& record);
std::string format_claim_record(const claims_snapshot& record);
/// Throws `state::error` if `data` is no record of the claims stream.
claim_record parse_claim_record(std::string_view data);

/// Makes the outcome of an answered request; a body that is too large or not UTF-8 is
/// left out.
key_outcome make_done_outcome(std::string key, unsigned status, std::string_view type,
                              std::string_view body);

} // namespace pomelorouter::protocol
