#include "coordination/idempotency.hpp"

#include "state/enum_table.hpp"

namespace pomelorouter::coordination
{

using protocol::refusal;
using protocol::run_state;
using state::error;
using state::error_code;

namespace
{

constexpr const char* error_location = "Idempotency-Key";
constexpr state::milliseconds log_retry_after{1000};
constexpr state::milliseconds in_use_retry_after{500};

constexpr std::array<state::enum_name<idempotency_action>, 7> action_names{{
    {idempotency_action::run, "run"},
    {idempotency_action::claim_first, "claim_first"},
    {idempotency_action::replay_local, "replay_local"},
    {idempotency_action::replay_recorded, "replay_recorded"},
    {idempotency_action::wait_local, "wait_local"},
    {idempotency_action::forward, "forward"},
    {idempotency_action::refuse, "refuse"},
}};

idempotency_decision make_action(idempotency_action action)
{
    idempotency_decision decision;
    decision.action = action;
    return decision;
}

idempotency_decision refuse(refusal value)
{
    idempotency_decision decision;
    decision.refusal = std::move(value);
    return decision;
}

refusal make_refusal(error_code code, run_state run, const std::string& expected,
                     std::optional<state::milliseconds> retry_after = std::nullopt)
{
    refusal result(error(code, error_location, expected));
    result.run = run;
    result.retry_after = retry_after;
    return result;
}

refusal key_reused()
{
    return make_refusal(error_code::key_reused, run_state::not_run,
                        "this request was not run: the key belongs to a request with "
                        "another method, path or body; send it with a new key");
}

refusal answer_not_kept(std::int64_t status)
{
    const std::string with = status == 0
                                 ? std::string()
                                 : " and answered with status " + std::to_string(status);
    return make_refusal(error_code::answer_not_kept, run_state::run,
                        "the request was run" + with +
                            "; the body of the answer is no longer stored; do not send "
                            "it again, ask the service for the result");
}

refusal log_unknown()
{
    return make_refusal(
        error_code::log_unavailable, run_state::not_run,
        "this attempt was not run: this node does not know the claims in the log; send "
        "it again later with the same key, or use a key from GET /v1/addresses?keys=N",
        log_retry_after);
}

idempotency_decision decide_local(const idempotency_input& input)
{
    if (input.local_request != input.request)
        return refuse(key_reused());
    switch (input.local)
    {
    case local_key_state::finished:
        return input.local_body_kept ? make_action(idempotency_action::replay_local)
                                     : refuse(answer_not_kept(0));
    case local_key_state::lost:
        return refuse(
            outcome_unknown_refusal("it was sent to a backend server whose answer was "
                                    "lost"));
    default:
        return make_action(idempotency_action::wait_local);
    }
}

idempotency_decision decide_remote(const idempotency_input& input)
{
    switch (input.holder)
    {
    case process_state::alive:
        if (!input.forwarded)
            return make_action(idempotency_action::forward);
        return refuse(key_in_use_refusal());
    case process_state::dead:
        return refuse(outcome_unknown_refusal(
            "the process that the key belongs to has ended without recording an "
            "outcome"));
    case process_state::unknown:
        return refuse(outcome_unknown_refusal(
            "the node that the key belongs to is not in the list of nodes"));
    case process_state::self:
        // This process holds the claim, but no request uses it: its release is being
        // written to the log.
        return refuse(key_in_use_refusal());
    }
    return refuse(key_in_use_refusal());
}

idempotency_decision decide_issued(const idempotency_input& input)
{
    if (input.expired)
    {
        return refuse(make_refusal(error_code::key_expired, run_state::unknown,
                                   "this attempt was not run, and it is no longer known "
                                   "whether an earlier attempt was run; "
                                   "ask the service before sending it with a new key"));
    }
    if (input.holder == process_state::self)
        return make_action(idempotency_action::run);
    return decide_remote(input);
}

idempotency_decision decide_claimed(const idempotency_input& input)
{
    const claim_state& held = *input.held;
    if (held.claim.request != input.request)
        return refuse(key_reused());
    if (!held.outcome)
        return decide_remote(input);
    if (held.outcome->result == protocol::outcome_result::unknown)
    {
        return refuse(
            outcome_unknown_refusal("it was sent to a backend server whose answer was "
                                    "lost"));
    }
    if (held.outcome->body_kept)
        return make_action(idempotency_action::replay_recorded);
    return refuse(answer_not_kept(held.outcome->status));
}

idempotency_decision decide_chosen(const idempotency_input& input)
{
    switch (input.answer)
    {
    case claim_answer::not_asked:
        return make_action(idempotency_action::claim_first);
    case claim_answer::granted:
        return make_action(idempotency_action::run);
    case claim_answer::held:
        if (input.held)
            return decide_claimed(input);
        break;
    case claim_answer::refused:
        if (input.failure)
        {
            return refuse(
                make_refusal(input.failure->code(), run_state::not_run,
                             "this attempt was not run: " + input.failure->expected() +
                                 "; send it again later with the same key",
                             log_retry_after));
        }
        break;
    case claim_answer::log_unknown:
        break;
    }
    return refuse(log_unknown());
}

} // namespace

std::string_view to_string(idempotency_action action)
{
    return name_of(action_names, action);
}

idempotency_decision decide_idempotency(const idempotency_input& input)
{
    if (input.kind == key_kind::issued)
        return input.local == local_key_state::none ? decide_issued(input)
                                                    : decide_local(input);
    // A granted claim was made for this request, whose local state is `claiming`.
    if (input.answer == claim_answer::granted || input.local == local_key_state::none)
        return decide_chosen(input);
    return decide_local(input);
}

refusal key_in_use_refusal()
{
    return make_refusal(error_code::key_in_use, run_state::unknown,
                        "an earlier attempt with this key has not ended; send it again "
                        "later with the same key",
                        in_use_retry_after);
}

refusal outcome_unknown_refusal(const std::string& reason)
{
    return make_refusal(error_code::outcome_unknown, run_state::unknown,
                        "the request may or may not have been run: " + reason +
                            "; this attempt did not run it again; ask the service before "
                            "sending it with a new key");
}

} // namespace pomelorouter::coordination
