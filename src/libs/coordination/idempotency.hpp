#pragma once

#include "coordination/claims_fold.hpp"
#include "coordination/process_liveness.hpp"
#include "protocol/refusal.hpp"
#include "state/error.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace pomelorouter::coordination
{

/// Who made an idempotency key.
enum class key_kind
{
    /// Handed out by a node; only that process may run it.
    issued,
    /// Made by the caller; it must be claimed in the log.
    chosen,
};

/// What this process itself knows of a key.
enum class local_key_state
{
    none,
    /// A request waits for its claim.
    claiming,
    running,
    /// The backend server answered.
    finished,
    /// Sent, and the answer was lost.
    lost,
};

/// What the claims table said when it was asked for a key.
enum class claim_answer
{
    not_asked,
    /// The claims of the log are not known to this node.
    log_unknown,
    /// The claim was made for this very request.
    granted,
    /// The key was claimed before.
    held,
    /// No claim was made.
    refused,
};

/// All that the decision on one request depends on.
struct idempotency_input
{
    key_kind kind = key_kind::chosen;
    std::string request;
    /// Whether another node has forwarded the request to this one.
    bool forwarded = false;

    local_key_state local = local_key_state::none;
    std::string local_request;
    bool local_body_kept = false;

    /// Issued keys: whether the key is past its lifetime.
    bool expired = false;
    /// The process that the key is bound to, or that holds the claim.
    process_state holder = process_state::unknown;

    claim_answer answer = claim_answer::not_asked;
    std::optional<claim_state> held;
    std::optional<state::error> failure;
};

enum class idempotency_action
{
    run,
    claim_first,
    /// Answers with what this process has kept.
    replay_local,
    /// Answers with the outcome recorded in the log.
    replay_recorded,
    /// Waits for the request of this process that has the key.
    wait_local,
    /// Sends the request to the process that the key belongs to.
    forward,
    refuse,
};

std::string_view to_string(idempotency_action action);

/// What is to be done with a request.
struct idempotency_decision
{
    idempotency_action action = idempotency_action::refuse;
    /// Set for `refuse` only.
    protocol::refusal refusal;
};

/// Decides on a request with an idempotency key. No request runs but after `run`.
idempotency_decision decide_idempotency(const idempotency_input& input);

/// Refusal of a request whose key another sending holds.
protocol::refusal key_in_use_refusal();
/// Refusal of a request that may or may not have been run.
protocol::refusal outcome_unknown_refusal(const std::string& reason);

} // namespace pomelorouter::coordination
