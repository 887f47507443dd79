#pragma once

#include "app/node/claims_component.hpp"
#include "coordination/key_table.hpp"

#include <boost/asio/io_context.hpp>

#include <list>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace pomelorouter::test
{

/// Faults of one schedule. Integers are probabilities in thousandths. The flag
/// `truncates` takes effect in the harness for as long as it is set. The other flags have
/// no effect in the harness: they tell the test to start and end these faults itself.
struct fault_plan
{
    int lost_answer = 0;
    int late_append = 0;
    int rejected = 0;
    int backend_lost = 0;
    int backend_refused = 0;
    int give_up = 0;
    bool log_outages = false;
    bool stalled_readers = false;
    bool kills = false;
    /// The log keeps only a few records, so that readers depend on snapshots.
    bool truncates = false;
};

/// One request sent to a node, and its result.
struct sent_request
{
    std::size_t node = 0;
    std::string key;
    std::string body;
    bool forwarded = false;
    bool ran = false;
    /// `ran`, `replayed`, `killed` or the type of the refusal; empty until the request
    /// ends.
    std::string result;
    protocol::run_state run = protocol::run_state::unknown;
    /// The same request at the node that it was forwarded to; null if it was not
    /// forwarded.
    std::shared_ptr<sent_request> forwarded_request;
    std::optional<app::claim_reply> reply;
    bool waits_for_claim = false;
    bool holds_claim = false;
    /// When the backend server responds; set while the request runs.
    std::optional<state::time_point> answer_at;
    state::time_point give_up_at{};
};

/// Timer service that runs in virtual time.
class virtual_timers : public transport::timer_service
{
public:
    state::time_point now() const override { return this->time; }
    std::unique_ptr<transport::timer_subscription>
    every(state::milliseconds period, boost::asio::any_io_executor target,
          transport::timer_callback callback) override;
    std::unique_ptr<transport::timer_subscription>
    after(state::milliseconds delay, boost::asio::any_io_executor target,
          transport::timer_callback callback) override;
    void advance(state::milliseconds step);

private:
    struct entry
    {
        state::time_point at;
        std::weak_ptr<transport::timer_callback> callback;
        /// Zero for a one-shot timer.
        state::milliseconds period;
    };
    state::time_point time{state::seconds(1)};
    std::vector<entry> entries;
};

/// Three nodes with a log and a service that counts runs, in virtual time. The
/// idempotency decisions and the claims component are the real ones; threads and network
/// are simulated.
class at_most_once_harness
{
public:
    at_most_once_harness(std::uint64_t seed, const fault_plan& plan);
    ~at_most_once_harness();

    std::shared_ptr<sent_request> send(std::size_t node, const std::string& key,
                                       const std::string& body, bool forwarded = false);
    void step();
    /// Steps until the request has ended, for at most `limit` of virtual time. Returns
    /// whether it has ended.
    bool finish(const sent_request& item, state::milliseconds limit);
    void kill(std::size_t node);
    void start(std::size_t node);
    bool is_up(std::size_t node) const;
    bool chance(int per_thousand);

    std::mt19937_64 random;
    fault_plan faults;
    bool log_down = false;
    bool lose_next_answer = false;
    std::vector<bool> reads_stalled;
    std::map<std::string, int> runs;
    std::vector<std::shared_ptr<sent_request>> sent_requests;

private:
    class node;
    friend class node;

    void append(std::string data, app::append_callback done,
                const std::shared_ptr<bool>& alive);

    struct scheduled_task
    {
        state::time_point at;
        std::function<void()> run;
    };

    boost::asio::io_context loop;
    virtual_timers timers;
    std::vector<std::string> log;
    /// Oldest offset that the log still has.
    std::size_t log_first() const;
    std::list<scheduled_task> scheduled;
    std::vector<std::unique_ptr<node>> nodes;
    std::uint64_t next_incarnation = 1;
};

} // namespace pomelorouter::test
