#pragma once

#include "coordination/process_liveness.hpp"
#include "coordination/replicated_claims.hpp"
#include "protocol/refusal.hpp"
#include "state/error.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace pomelorouter::coordination
{

/// Origin of an idempotency key.
enum class key_kind
{
    /// Issued by a node; only the issuing process may run the request.
    issued,
    /// Chosen by the caller; the key must be claimed in the log before the request runs.
    chosen,
};

/// State of a key in this process.
enum class local_key_state
{
    none,
    /// A request waits for its claim in the log.
    claiming,
    running,
    /// The backend server answered.
    finished,
    /// The request was sent to a backend server and the answer was lost.
    lost,
};

/// Result of a claim of a key.
enum class claim_answer
{
    not_asked,
    /// This node does not know the claims in the log.
    log_unknown,
    /// The key was claimed for this request.
    granted,
    /// The key was already claimed.
    held,
    /// No claim was made.
    refused,
};

/// Inputs of the decision on one request.
struct idempotency_input
{
    key_kind kind = key_kind::chosen;
    std::string request;
    /// Whether another node has forwarded the request to this one.
    bool forwarded = false;

    local_key_state local = local_key_state::none;
    std::string local_request;
    bool local_body_kept = false;

    /// For issued keys: whether the lifetime of the key is over.
    bool expired = false;
    /// State of the process that issued the key or holds the claim.
    process_state holder = process_state::unknown;

    claim_answer answer = claim_answer::not_asked;
    std::optional<claim_state> held;
    std::optional<state::error> failure;
};

enum class idempotency_action
{
    run,
    claim_first,
    /// Returns the answer that this process has stored.
    replay_local,
    /// Returns the outcome recorded in the log.
    replay_recorded,
    /// Waits for the request in this process that uses the key.
    wait_local,
    /// Forwards the request to the process that issued the key or holds the claim.
    forward,
    refuse,
};

std::string_view to_string(idempotency_action action);

/// Decision on a request.
struct idempotency_decision
{
    idempotency_action action = idempotency_action::refuse;
    /// Set for `refuse` only.
    protocol::refusal refusal;
};

/// Decides on a request with an idempotency key. A request may run only if the action is
/// `run`.
idempotency_decision decide_idempotency(const idempotency_input& input);

/// Returns the refusal of a request while an earlier attempt uses its key.
protocol::refusal key_in_use_refusal();
/// Returns the refusal of a request of which it is unknown whether it was run. `reason`
/// is part of the error text.
protocol::refusal outcome_unknown_refusal(const std::string& reason);

} // namespace pomelorouter::coordination
