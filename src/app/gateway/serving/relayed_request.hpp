#pragma once

#include "app/gateway/serving/gateway_state.hpp"
#include "app/gateway/serving/request_dialect.hpp"
#include "coordination/backend_choice.hpp"
#include "coordination/room_policy.hpp"
#include "protocol/refusal.hpp"
#include "protocol/sse_event_splitter.hpp"
#include "state/error.hpp"
#include "transport/http_client.hpp"
#include "transport/http_error.hpp"
#include "transport/http_server.hpp"

#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace pomelorouter::app
{

class call_record;

/// Why a request is aborted before its response is complete.
enum class abort_reason
{
    none,
    client_closed,
    deadline_passed,
    /// The grace period of a planned stop ends.
    stopping,
};

std::string_view to_string(abort_reason reason);

/// How one call to a backend server ended.
enum class call_end
{
    /// The whole response was forwarded.
    completed,
    /// The backend server did not run the request and will not run it later.
    not_run,
    /// The request may have run, and no part of a response was forwarded.
    failed,
    /// The backend server responded with an error, which is kept in `error_answer`.
    error_answer,
    /// A part of the response was forwarded.
    broken_off,
};

std::string_view to_string(call_end end);

/// What the decision about a request is based on, as far as it has come.
struct request_terms
{
    /// Null if there is no route.
    const state::gateway_route* route = nullptr;
    /// Null if the caller has no team.
    const state::team* team = nullptr;
    /// The service is empty if the request was refused before it was known.
    coordination::backend_demand demand;
    /// Order among the waiting requests of the gateway.
    std::optional<int> rank;
    /// Time until the deadline, from the arrival.
    state::milliseconds time_limit{0};
    /// Whether the queue of an engine was compared with the limit of the request.
    bool has_queue_limit = false;
    double queue_ms = 0.0;
    double queue_limit_ms = 0.0;
};

/// Handles one request of a caller from its arrival to the end of the response.
class relayed_request
{
public:
    relayed_request(gateway_state& gateway, const request_dialect& platform_dialect,
                    transport::http_client& backend_client,
                    transport::http_exchange& client_exchange);
    ~relayed_request();
    relayed_request(const relayed_request&) = delete;
    relayed_request& operator=(const relayed_request&) = delete;

    boost::asio::awaitable<void> run();
    /// Decides about the request as `run()` does, and answers it if it is refused, but
    /// sends it to no backend server. Returns the chosen one, if any. To be used on a
    /// copy of the gateway's state.
    boost::asio::awaitable<coordination::backend_choice> decide_only();
    /// Ends `decide_only()` of a request that waits, without an answer.
    void withdraw() { abort(*this->aborted, abort_reason::client_closed); }
    request_terms terms() const;
    /// Aborts the current call if a part of the prompt is quarantined now and the answer
    /// has not begun.
    void on_quarantine();
    /// Ends the request with a final answer, since the process is about to exit.
    void on_exit() { abort(*this->aborted, abort_reason::stopping); }

private:
    /// Maximum size of the body of an error response or refusal.
    static constexpr std::size_t max_error_body_bytes = 64 * 1024;

    /// State for callbacks that may run after the request was destroyed.
    struct abort_state
    {
        abort_reason reason = abort_reason::none;
        transport::http_call* call = nullptr;
        /// The request; null after its destruction.
        relayed_request* request = nullptr;
    };

    /// Waits for a short time until a process that has just started knows the
    /// configuration and the backend servers.
    boost::asio::awaitable<void> wait_for_start();
    /// Prepares the request. Returns the refusal if that fails.
    std::optional<state::error> try_prepare();
    void prepare();
    /// Finds the route. Throws `state::error` if there is none.
    void find_route();
    /// If the caller resumes a stream, finds the software version that began it. Returns
    /// the refusal if it is not known.
    boost::asio::awaitable<std::optional<state::error>> find_origin();
    /// Finds the team whose key the request carries. Throws `state::error` if the route
    /// requires a key and no team holds it.
    void identify_team();
    /// Identifies the team again if a newer configuration came into force while the
    /// request waited, so that a withdrawn key does not run. Returns the refusal if no
    /// team holds the key any more.
    std::optional<state::error> check_key_again();
    /// Throws `code`, or `settings_unknown` if a newer configuration that this gateway
    /// has not read yet may allow the request.
    [[noreturn]] void refuse_by_config(state::error_code code, const std::string& place,
                                       const std::string& expected) const;
    /// Counts the request against the allowance of its team. Throws `state::error`
    /// (`rate_limited`) if there is no room.
    void charge_allowance();
    /// Order among the waiting requests of this gateway: by the priority of the team,
    /// then by that of the route. 0 is the highest.
    int rank() const;
    /// Priority at engines: that of the team, else that of the route. 0 is the highest.
    int priority() const;
    /// Throws `state::error` (`draining`) if a planned stop leaves too little time.
    void check_time_before_exit() const;
    void watch();
    static void abort(abort_state& target, abort_reason reason);
    bool is_aborted() const { return this->aborted->reason != abort_reason::none; }
    state::milliseconds time_left() const;

    boost::asio::awaitable<void> serve();
    boost::asio::awaitable<coordination::backend_choice> choose();
    /// Waits until an engine has the weights and capacity, or until the request can no
    /// longer be completed in time.
    boost::asio::awaitable<coordination::backend_choice> wait_in_queue();
    /// Chooses a backend server, and requests permits that are missing.
    coordination::backend_choice choose_now();
    coordination::backend_choice choose_backend();
    /// Whether the answer cannot begin within the target any more.
    bool is_late(double idle_ms) const;
    /// Rank with which the request counts among those that wait.
    std::size_t queue_rank(double idle_ms) const;
    /// Engine time of the requests at other gateways that precede this one.
    coordination::waiting_work work_at_peers(const protocol::tokens_by_rank& tokens,
                                             double idle_ms, std::size_t engines) const;
    /// Decides whether the request is sent to the chosen engine now. `own_ahead_ms` is
    /// the engine time of the requests at this gateway that precede it.
    coordination::room_decision decide(const coordination::backend_choice& choice,
                                       bool is_next, double own_ahead_ms);
    /// Counts the request among those that wait for capacity, or removes it.
    void set_queued(std::optional<std::size_t> rank);
    void on_refused(const coordination::room_decision& decision);
    /// Without a chosen backend server: whether one may become available in time.
    bool may_become_available(const coordination::backend_choice& choice) const;
    state::milliseconds stream_time() const;
    /// Notes why there is no backend server for the request.
    void on_not_chosen(const coordination::backend_choice& choice);
    /// Notes why no engine has room, and for how long.
    void on_overloaded(const coordination::backend_choice& choice);
    bool may_try_again(call_end last) const;
    /// Sends the request to one backend server and forwards its response.
    boost::asio::awaitable<call_end> call(const coordination::backend_choice& choice);
    boost::asio::awaitable<call_end>
    exchange_with(transport::http_call& backend,
                  const coordination::backend_choice& choice, call_record& record);
    boost::asio::awaitable<void> discard_rest(transport::http_call& backend);
    boost::asio::awaitable<call_end> relay_whole(transport::http_call& backend);
    boost::asio::awaitable<call_end> relay_chunks(transport::http_call& backend,
                                                  std::string first);
    boost::asio::awaitable<call_end> relay_events(transport::http_call& backend,
                                                  call_record& record);
    /// Adds a piece of a stream and returns what may be passed on now: complete events,
    /// and without memory to hold it, the incomplete one.
    std::string split_events(const std::string& piece);
    boost::asio::awaitable<void> begin_stream(const transport::http_response& head);
    /// Whether a response to a resumed call consists of the next events of the stream.
    bool continues_stream(const transport::http_response& head,
                          const response_metadata& response) const;

    boost::asio::awaitable<void> finish(call_end last);
    boost::asio::awaitable<void>
    refuse(state::error_code code, const std::string& expected, protocol::run_state run);
    state::milliseconds retry_after() const;
    /// Starts the progress timer if the request could be retried at another backend
    /// server.
    void watch_progress(state::milliseconds longest_pause);
    void arm_progress_timer(state::milliseconds delay);
    void on_progress_timer();
    void on_progress() { this->last_progress = std::chrono::steady_clock::now(); }
    /// Longest pause of a stream before it is resumed at another backend server.
    state::milliseconds stall_limit() const;
    /// Applies the pause and leaving notices of a backend server's response, whatever its
    /// status.
    void apply_backend_notices(const state::backend_entry& entry,
                               const response_metadata& response);
    void apply_rate_limit(const state::backend_entry& entry,
                          const response_metadata& response);
    void on_answer_begun();
    void count_zone_traffic(const state::backend_entry& entry);
    /// Reports a call whose connection the backend server's side ended.
    void report_lost_call(const state::backend_entry& entry,
                          const transport::http_error& failure);
    /// Ids of the prompt parts that other requests may share: all but the last.
    std::vector<std::uint64_t> shared_parts() const;
    /// Ids of all prompt parts.
    std::vector<std::uint64_t> all_parts() const;
    /// Updates `quarantine`, and returns whether the request must not be sent.
    bool is_quarantined();
    state::milliseconds
    first_byte_timeout(const coordination::backend_choice& choice) const;
    void log_end(std::string_view outcome, unsigned status);
    /// Counts a stream whose first event was passed on.
    void count_stream_end(bool is_complete);

    gateway_state& shared;
    const request_dialect& dialect;
    transport::http_client& client;
    transport::http_exchange& exchange;
    std::shared_ptr<const coordination::route_table> routes;
    const state::gateway_route* route = nullptr;
    /// Configuration by which the team was identified.
    std::shared_ptr<const coordination::route_table> team_source;
    /// The caller's team, in `team_source`; null if it has none.
    const state::team* team = nullptr;
    /// The caller takes up a stream that an earlier attempt began.
    bool is_resumed = false;
    /// What the request was counted as, for which team, and when.
    double charged_cost = 0.0;
    std::string charged_team;
    state::time_point charged_at{};
    /// Time until the allowance of the team has room.
    std::optional<state::milliseconds> allowance_wait;
    request_metadata metadata;
    coordination::backend_demand demand;
    /// Whether the configuration has the model and adapter of the request.
    bool can_be_loaded = false;
    coordination::room_class room;
    /// Expected queue of the engine chosen last, and the limit of this request.
    double engine_queue_ms = 0.0;
    double queue_limit_ms = 0.0;
    /// Time of the last decision about the room.
    state::time_point decided_at{};
    /// Rank with which the request is counted as waiting.
    std::optional<std::size_t> queued_as;
    state::time_point started{};
    state::time_point deadline{};
    boost::asio::steady_timer deadline_timer;
    boost::asio::steady_timer progress_timer;
    state::time_point last_progress{};
    /// Longest allowed time without progress; zero if no call is watched.
    state::milliseconds stall_timeout{0};
    /// The current call was aborted in favour of another backend server, and the retry
    /// was already taken from the budget.
    bool has_reserved_retry = false;
    /// The end of the request is logged.
    bool is_logged = true;
    std::shared_ptr<abort_state> aborted = std::make_shared<abort_state>();

    int attempts = 0;
    /// When the current call was sent.
    state::time_point sent_at{};
    /// The backend server has begun to answer the current call.
    bool answer_begun = false;
    std::set<std::string> tried;
    /// Whether some backend server may have run the request.
    bool may_have_run = false;
    /// Calls that were lost before their answer began.
    int unanswered_calls = 0;
    /// The part of the prompt because of which the request is not sent.
    std::optional<coordination::quarantined_part> quarantine;
    /// The current call was aborted because of a quarantine.
    bool is_withdrawn = false;
    coordination::choice_failure last_failure = coordination::choice_failure::none;
    std::string last_backend;
    std::string last_software;
    std::string last_problem;
    /// Error response of a backend server, forwarded if no other call succeeds.
    std::optional<transport::http_response> error_answer;
    /// Memory of a response that is kept until it is complete, or of an incomplete event.
    transport::memory_reservation response_memory;
    protocol::sse_event_splitter events;
    bool stream_begun = false;
    state::milliseconds first_byte_time{-1};
    /// Estimated queue time, from which a refusal computes its Retry-After.
    state::milliseconds queue_time{0};
    /// Earliest end of the pauses that backend servers asked for.
    state::time_point available_at{};
    unsigned answer_status = 0;
};

} // namespace pomelorouter::app
