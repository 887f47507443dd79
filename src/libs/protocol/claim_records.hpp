#pragma once

#include "protocol/record_header.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace pomelorouter::protocol
{

/// Size limit of a response body that is stored with an outcome.
inline constexpr std::size_t max_outcome_body_bytes = 1024;

/// Claims the right to run the request that carries a caller-chosen idempotency key.
struct key_claim
{
    /// Hash of service and key.
    std::string key;
    /// Hash of method, path and body; detects a key that is reused for another request.
    std::string request;
    /// Wall-clock time of the claim, in seconds.
    std::int64_t time_s = 0;
    /// Time after which the claim expires, in seconds. It is part of the record, so that
    /// all nodes agree on it even while the setting changes.
    std::int64_t lifetime_s = 0;

    bool operator==(const key_claim&) const = default;
};

/// How the request of a claim ended.
enum class outcome_result
{
    /// The backend server sent a response.
    done,
    /// The request was not run; the key can be used again.
    not_run,
    /// The request was sent, but its response was lost.
    unknown,
};

std::string_view to_string(outcome_result result);

/// Outcome of a claimed request, recorded by the holder of the claim.
struct key_outcome
{
    std::string key;
    outcome_result result = outcome_result::done;
    /// HTTP status of the response; 0 unless `done`.
    std::int64_t status = 0;
    std::string content_type;
    std::string body;
    /// False if the body was too large or not valid UTF-8.
    bool body_kept = false;

    bool operator==(const key_outcome&) const = default;
};

/// Claims and outcomes of one node, numbered by `header.sequence`.
struct claim_batch
{
    record_header header;
    /// Wall-clock time of the append, in seconds; updated when the batch is sent again.
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

/// Sequence number of the last batch of a process that has been applied.
struct claim_writer
{
    std::string writer;
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    std::int64_t time_s = 0;
};

/// The state after applying all records up to and including the offset `upto`.
struct claims_snapshot
{
    record_header header;
    std::uint64_t upto = 0;
    /// Latest wall-clock time of a claim, in seconds.
    std::int64_t time_s = 0;
    std::vector<held_claim> claims;
    std::vector<key_outcome> outcomes;
    std::vector<claim_writer> writers;
};

using claim_record = std::variant<claim_batch, claims_snapshot>;

std::string format_claim_record(const claim_batch& record);
std::string format_claim_record(const claims_snapshot& record);
/// Parses a record of the claims stream. Throws `state::error` if `data` is not one.
claim_record parse_claim_record(std::string_view data);

/// Makes the outcome of a request that received a response. Leaves out a body that is too
/// large or not valid UTF-8.
key_outcome make_done_outcome(std::string key, unsigned status, std::string_view type,
                              std::string_view body);

} // namespace pomelorouter::protocol
