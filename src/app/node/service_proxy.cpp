#include "app/node/service_proxy.hpp"

#include "app/node/process_clock.hpp"
#include "app/node/refuse.hpp"
#include "app/node/view_liveness.hpp"
#include "protocol/issued_key.hpp"
#include "state/error.hpp"
#include "transport/http_error.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <charconv>
#include <optional>
#include <string_view>
#include <utility>

namespace pomelorouter::app
{

namespace asio = boost::asio;
using coordination::claim_answer;
using coordination::idempotency_action;
using coordination::key_kind;
using coordination::local_key_state;
using protocol::refusal;
using state::attribute;
using state::error;
using state::error_code;
using transport::http_response;

namespace
{

constexpr std::string_view prefix = "/services/";
constexpr std::string_view key_header = "Idempotency-Key";
constexpr std::string_view deadline_header = "X-Deadline-Ms";
// Set by the forwarding node, so that a request is forwarded at most once.
constexpr std::string_view forwarded_header = "X-Pomelorouter-Forwarded";
constexpr std::string_view replayed_header = "Idempotency-Replayed";
constexpr state::milliseconds default_retry_after{1000};
/// Maximum size of a response that is forwarded to a caller.
constexpr std::size_t max_response_bytes = 64 * 1024 * 1024;
constexpr state::milliseconds max_deadline{3600000};
constexpr state::milliseconds mailbox_full_delay{5};
// Long enough for an append whose response is lost and the read that finds its record.
constexpr state::milliseconds claim_timeout{5000};
// The table entry of a key outlives the key by this time, so that a key that is about to
// expire is not mistaken for an unused one.
constexpr state::seconds entry_lifetime_margin{60};

state::milliseconds read_deadline(const transport::http_request& request,
                                  state::milliseconds fallback)
{
    const std::string_view text = request[deadline_header];
    if (text.empty())
        return fallback;
    std::int64_t value = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), value);
    if (parsed.ec != std::errc() || parsed.ptr != text.data() + text.size() ||
        value < 1 || value > max_deadline.count())
    {
        throw error(error_code::invalid_argument, std::string(deadline_header),
                    "expected a number of milliseconds from 1 to " +
                        std::to_string(max_deadline.count()));
    }
    return state::milliseconds(value);
}

std::string read_key(const transport::http_request& request)
{
    if (request.count(key_header) == 0)
        return {};
    const std::string_view key = request[key_header];
    const bool printable =
        std::all_of(key.begin(), key.end(), [](char c) { return c > ' ' && c <= '~'; });
    if (key.empty() || key.size() > protocol::max_key_bytes || !printable)
    {
        throw error(error_code::invalid_argument, std::string(key_header),
                    "expected 1 to " + std::to_string(protocol::max_key_bytes) +
                        " printable characters without spaces");
    }
    return std::string(key);
}

http_response make_replay(unsigned status, const std::string& type, std::string body)
{
    http_response response(static_cast<transport::status>(status), 11);
    if (!type.empty())
        response.set(transport::field::content_type, type);
    response.set(replayed_header, "true");
    response.body() = std::move(body);
    return response;
}

refusal overloaded_refusal(const std::string& expected)
{
    refusal result(error(error_code::overloaded, std::string(key_header), expected));
    result.retry_after = default_retry_after;
    return result;
}

refusal claim_timeout_refusal()
{
    refusal result(
        error(error_code::log_unavailable, std::string(key_header),
              "this attempt was not run: the claim of its key did not appear in "
              "the log in time; send it again later with the same key"));
    result.retry_after = default_retry_after;
    return result;
}

refusal forward_refusal(const transport::http_error& failure)
{
    refusal result = coordination::outcome_unknown_refusal(
        "the node that owns the key did not respond (" + std::string(failure.what()) +
        "); send it again later with the same key");
    result.retry_after = default_retry_after;
    return result;
}

} // namespace

/// One request of a caller to a plain service.
struct service_proxy::service_call
{
    std::shared_ptr<const state::node_view> view;
    const state::service_view* service = nullptr;
    std::string name;
    transport::http_request request;
    state::time_point deadline{};
    std::string key;
    std::optional<protocol::issued_key> issued;
    /// Identifies the key in the local table and, for a chosen key, in the log.
    std::string id;
    coordination::idempotency_input input;

    state::milliseconds remaining() const { return remaining_until(this->deadline); }
    service_send make_send(bool idempotent) const
    {
        service_send result;
        result.view = this->view;
        result.service = this->service;
        result.request = &this->request;
        result.deadline = this->deadline;
        result.idempotent = idempotent;
        result.keyed = !idempotent && !this->key.empty();
        return result;
    }
    bool is_expired() const { return std::chrono::steady_clock::now() >= this->deadline; }
};

service_proxy::service_proxy(const node_identity& node, const view_cell& view_source,
                             transport::http_client& http,
                             control_mailbox& control_events,
                             claims_component& claim_owner,
                             state::counter_registry& counters)
    : identity(node),
      views(view_source),
      client(http),
      control(control_events),
      claims(claim_owner),
      sender(http, counters),
      replays(counters.count("service_replays_total",
                             "requests answered with the answer kept for their key")),
      forwards(counters.count("service_forwards_total",
                              "requests forwarded to the node their key belongs to")),
      refusals(counters.count("service_refusals_total",
                              "requests with a key that were refused"))
{
}

asio::awaitable<void> service_proxy::handle(transport::http_exchange& exchange)
{
    service_call call = this->read_call(exchange);
    const transport::verb method = call.request.method();
    const bool idempotent =
        method == transport::verb::get || method == transport::verb::head;
    if (!idempotent && !call.key.empty())
    {
        co_await this->handle_keyed(exchange, call);
        co_return;
    }
    const service_send sending = call.make_send(idempotent);
    service_result result = co_await this->sender.send(sending);
    if (result.response)
        co_await exchange.respond(std::move(*result.response));
    else
        co_await refuse(exchange, result.failure);
}

service_proxy::service_call
service_proxy::read_call(const transport::http_exchange& exchange) const
{
    service_call call;
    call.view = this->views.load();
    if (!call.view->current_settings)
        throw error(error_code::settings_unknown, "node",
                    "no settings received from the log or a peer yet");
    const std::string target(exchange.request().target());
    const std::string_view rest = std::string_view(target).substr(prefix.size());
    const std::size_t slash = rest.find('/');
    call.name = rest.substr(0, slash);
    const auto found = call.view->plain_services.find(call.name);
    if (slash == std::string_view::npos || found == call.view->plain_services.end())
        throw error(error_code::not_found, target,
                    "no such service or path; expected /services/{service}/{path}");
    call.service = &found->second;
    const state::attribute_values& attributes = call.service->settings->attributes;
    const transport::http_request& received = exchange.request();
    call.deadline =
        std::chrono::steady_clock::now() +
        read_deadline(received,
                      state::milliseconds(attributes.get(attribute::deadline_ms)));
    call.key = read_key(received);
    call.request = received;
    call.request.target(rest.substr(slash));
    call.request.keep_alive(true);
    if (call.key.empty())
        return call;
    call.issued = protocol::find_issued_key(call.key);
    call.id = call.issued ? call.key : protocol::hash_key(call.name, call.key);
    call.input.kind = call.issued ? key_kind::issued : key_kind::chosen;
    call.input.request =
        protocol::hash_request(received.method_string(), target, received.body());
    call.input.forwarded = received.count(forwarded_header) > 0;
    return call;
}

asio::awaitable<void> service_proxy::handle_keyed(transport::http_exchange& exchange,
                                                  service_call& call)
{
    this->keys.prune(std::chrono::steady_clock::now());
    bool again = true;
    while (again)
    {
        const coordination::idempotency_decision decision = this->decide(call);
        again = co_await this->carry_out(exchange, call, decision);
    }
}

coordination::idempotency_decision service_proxy::decide(service_call& call) const
{
    coordination::idempotency_input& input = call.input;
    const coordination::key_entry* entry = this->keys.find(call.id);
    input.local = entry == nullptr ? local_key_state::none : entry->state;
    input.local_request = entry == nullptr ? std::string() : entry->request;
    input.local_body_kept = entry != nullptr && entry->body_kept;
    const view_liveness liveness(this->identity, *call.view);
    if (call.issued)
    {
        const std::int64_t lifetime_s =
            call.view->current_settings->attributes.get(attribute::key_lifetime_s);
        input.expired = process_wall_s() >= call.issued->issued_s + lifetime_s;
        input.holder = liveness.state_of(call.issued->node, call.issued->incarnation);
    }
    else if (input.held)
    {
        input.holder = liveness.state_of(input.held->writer, input.held->incarnation);
    }
    return coordination::decide_idempotency(input);
}

asio::awaitable<bool>
service_proxy::carry_out(transport::http_exchange& exchange, service_call& call,
                         const coordination::idempotency_decision& decision)
{
    switch (decision.action)
    {
    case idempotency_action::run:
        co_await this->run(exchange, call);
        co_return false;
    case idempotency_action::claim_first:
        co_return co_await this->claim(exchange, call);
    case idempotency_action::wait_local:
        co_return co_await this->wait_for_local(exchange, call);
    case idempotency_action::forward:
        co_await this->forward(exchange, call);
        co_return false;
    case idempotency_action::replay_local:
    {
        this->replays.add();
        const coordination::kept_answer kept = this->keys.find(call.id)->answer;
        co_await exchange.respond(make_replay(kept.status, kept.content_type, kept.body));
        co_return false;
    }
    case idempotency_action::replay_recorded:
    {
        this->replays.add();
        const protocol::key_outcome outcome = *call.input.held->outcome;
        co_await exchange.respond(make_replay(static_cast<unsigned>(outcome.status),
                                              outcome.content_type, outcome.body));
        co_return false;
    }
    case idempotency_action::refuse:
        break;
    }
    this->refusals.add();
    co_await refuse(exchange, decision.refusal);
    co_return false;
}

asio::awaitable<bool> service_proxy::claim(transport::http_exchange& exchange,
                                           service_call& call)
{
    const bool added = this->keys.add(
        call.id, call.input.request, local_key_state::claiming, this->entry_expiry(call));
    const auto slot =
        std::make_shared<reply_slot<claim_reply>>(co_await asio::this_coro::executor);
    if (!added || !this->control.try_push(this->make_claim_event(call, slot)))
    {
        if (added)
            this->forget(call.id);
        co_await refuse(exchange, overloaded_refusal(
                                      "this attempt was not run: too many keys in use; "
                                      "send it again later with the same key"));
        co_return false;
    }
    const std::optional<claim_reply> reply =
        co_await slot->wait(std::min(call.remaining(), claim_timeout));
    if (!reply)
    {
        // The withdrawal is posted before the key is removed from the local table, so
        // that the claim of the next request with this key comes after it.
        co_await this->post(this->make_withdraw_event(call.id));
        this->forget(call.id);
        this->refusals.add();
        co_await refuse(exchange, claim_timeout_refusal());
        co_return false;
    }
    call.input.answer = reply->answer;
    call.input.held = reply->held;
    call.input.failure = reply->failure;
    if (reply->answer != claim_answer::granted)
        this->forget(call.id);
    co_return true;
}

asio::awaitable<void> service_proxy::run(transport::http_exchange& exchange,
                                         service_call& call)
{
    if (call.issued)
    {
        if (!this->keys.add(call.id, call.input.request, local_key_state::running,
                            this->entry_expiry(call)))
        {
            co_await refuse(
                exchange,
                overloaded_refusal("this attempt was not run: too many keys in use; "
                                   "send it again later with the same key"));
            co_return;
        }
    }
    else
    {
        this->keys.set_running(call.id);
    }
    const service_send sending = call.make_send(false);
    service_result result = co_await this->sender.send(sending);
    if (!call.issued)
        co_await this->post(this->make_record_event(call, result));
    this->finish(call, result);
    if (result.response)
        co_await exchange.respond(std::move(*result.response));
    else
        co_await refuse(exchange, result.failure);
}

void service_proxy::finish(const service_call& call, const service_result& result)
{
    if (result.response)
    {
        coordination::kept_answer answer;
        answer.status = result.response->result_int();
        answer.content_type = (*result.response)[transport::field::content_type];
        answer.body = result.response->body();
        this->keys.finish(call.id, std::move(answer));
    }
    else if (result.is_not_run())
    {
        this->keys.remove(call.id);
    }
    else
    {
        this->keys.set_lost(call.id);
    }
    this->wake(call.id);
}

asio::awaitable<bool> service_proxy::wait_for_local(transport::http_exchange& exchange,
                                                    const service_call& call)
{
    if (!call.is_expired())
    {
        const auto timer = std::make_shared<asio::steady_timer>(
            co_await asio::this_coro::executor, call.deadline);
        this->waiters[call.id].push_back(timer);
        boost::system::error_code ended;
        co_await timer->async_wait(asio::redirect_error(asio::use_awaitable, ended));
        if (ended)
            co_return true;
    }
    this->refusals.add();
    co_await refuse(exchange, coordination::key_in_use_refusal());
    co_return false;
}

asio::awaitable<void> service_proxy::forward(transport::http_exchange& exchange,
                                             const service_call& call)
{
    const view_liveness liveness(this->identity, *call.view);
    const std::string node = call.issued ? call.issued->node : call.input.held->writer;
    const state::node_address* address = liveness.find(node);
    transport::http_request request = exchange.request();
    request.set(forwarded_header, this->identity.id);
    request.set(deadline_header, std::to_string(call.remaining().count()));
    request.keep_alive(true);
    transport::http_call_options options;
    options.fresh_connection = true;
    options.connect_timeout = state::milliseconds(
        call.service->settings->attributes.get(attribute::connect_timeout_ms));
    options.progress_timeout = call.remaining();
    options.max_body_bytes = max_response_bytes;
    this->forwards.add();
    std::optional<transport::http_error> failed;
    http_response response;
    try
    {
        response = co_await this->client.fetch(address->address, request, options);
    }
    catch (const transport::http_error& failure)
    {
        failed = failure;
    }
    if (failed)
    {
        this->refusals.add();
        co_await refuse(exchange, forward_refusal(*failed));
        co_return;
    }
    co_await exchange.respond(std::move(response));
}

asio::awaitable<void> service_proxy::post(control_event event)
{
    // A push that fails because the mailbox is full does not move from the event.
    // NOLINTNEXTLINE(bugprone-use-after-move)
    while (!this->control.try_push(std::move(event)))
    {
        asio::steady_timer timer(co_await asio::this_coro::executor, mailbox_full_delay);
        co_await timer.async_wait(asio::use_awaitable);
    }
}

control_event
service_proxy::make_claim_event(const service_call& call,
                                const std::shared_ptr<reply_slot<claim_reply>>& slot)
{
    return control_task{[this, key = call.id, request = call.input.request, slot]
                        {
                            this->claims.claim(key, request,
                                               [slot](const claim_reply& reply)
                                               { slot->deliver(reply); });
                        }};
}

control_event service_proxy::make_withdraw_event(const std::string& key)
{
    return control_task{[this, key] { this->claims.withdraw(key); }};
}

control_event service_proxy::make_record_event(const service_call& call,
                                               const service_result& result)
{
    protocol::key_outcome outcome;
    outcome.key = call.id;
    if (result.response)
    {
        outcome = protocol::make_done_outcome(
            call.id, result.response->result_int(),
            (*result.response)[transport::field::content_type], result.response->body());
    }
    else
    {
        outcome.result = result.is_not_run() ? protocol::outcome_result::not_run
                                             : protocol::outcome_result::unknown;
    }
    return control_task{[this, outcome] { this->claims.record(outcome); }};
}

void service_proxy::forget(const std::string& key)
{
    this->keys.remove(key);
    this->wake(key);
}

void service_proxy::wake(const std::string& key)
{
    const auto entry = this->waiters.extract(key);
    if (entry.empty())
        return;
    for (const waiter& timer : entry.mapped())
        timer->cancel();
}

state::time_point service_proxy::entry_expiry(const service_call& call) const
{
    const state::seconds lifetime(
        call.view->current_settings->attributes.get(attribute::key_lifetime_s));
    return std::chrono::steady_clock::now() + lifetime + entry_lifetime_margin;
}

} // namespace pomelorouter::app
