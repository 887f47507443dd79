#pragma once

#include "coordination/report_source.hpp"
#include "protocol/gateway_heartbeat.hpp"
#include "state/clock.hpp"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace pomelorouter::coordination
{

/// Speed of the engines of one service. The defaults hold until calls have shown it.
struct engine_pace
{
    double prompt_tokens_per_ms = 20.0;
    /// Time to first byte of a request without prompt tokens.
    double first_step_ms = 25.0;
    /// Time per output token of a stream that runs alone, and its increase for each
    /// further running request.
    double step_ms = 25.0;
    double step_ms_per_request = 0.0;
    /// Number of calls behind the figures, which decreases with their age.
    double samples = 0.0;

    double ms_per_output_token(double running) const;
    /// Share of the engine's time that prompts take at this rate, at most
    /// `max_prompt_share`.
    double prompt_share(double prompt_tokens_per_s) const;
};

/// Upper bound of the share of an engine's time that is attributed to prompts.
inline constexpr double max_prompt_share = 0.75;

/// Fits a line to samples whose weights decrease with each new sample and with time. The
/// fit begins at a given line, to which it returns as the samples lose their weight.
class line_estimate
{
public:
    /// `far_x` is a typical large value of x.
    line_estimate(double prior_intercept, double prior_slope, double far_x);

    /// Adds a sample. A value that differs much from the line moves it no further than a
    /// moderately different one.
    void add(state::time_point now, double x, double y);
    double intercept() const { return this->fitted_intercept; }
    double slope() const { return this->fitted_slope; }
    /// Number of samples, decreased by age.
    double samples(state::time_point now) const;

private:
    void fit();

    double prior_intercept;
    double prior_slope;
    double far_x;
    double fitted_intercept;
    double fitted_slope;
    double weight = 0.0;
    double sum_x = 0.0;
    double sum_y = 0.0;
    double sum_xx = 0.0;
    double sum_xy = 0.0;
    state::time_point updated{};
};

/// What a completed stream shows about the speed of its engine.
struct stream_sample
{
    /// Time from the first byte to the end.
    double duration_ms = 0.0;
    /// Maximum number of tokens that the request allowed.
    std::uint32_t output_tokens = 0;
    /// Complete events.
    std::uint64_t events = 0;
    /// Other requests that ran on the engine, and the rate of its prompt tokens.
    double running = 0.0;
    double prompt_tokens_per_s = 0.0;
};

/// Learns the speed of the engines of each service from the calls of this gateway and
/// from the reports of others.
class engine_speed
{
public:
    explicit engine_speed(const engine_pace& before_first_call) : prior(before_first_call)
    {
    }

    /// Records the time to first byte of a call. `tokens` counts the prompt tokens of the
    /// call and of those before it that the engine had to process. `process` identifies
    /// the engine by id and incarnation.
    void on_first_byte(state::time_point now, const std::string& service,
                       const std::string& process, double tokens, double elapsed_ms);
    void on_stream_end(state::time_point now, const std::string& service,
                       const stream_sample& sample);
    /// Drops the figures of services whose sampled processes have all ended: after a
    /// release the engines may have a different speed. Reports of the calls before the
    /// release are ignored until they have expired.
    void retain(state::time_point now,
                const std::set<std::string, std::less<>>& process_keys);

    /// The speed of the service by the calls of all gateways.
    engine_pace of(state::time_point now, std::string_view service) const;

    using speed_list = std::vector<protocol::service_speed>;
    /// Figures of this gateway's calls.
    speed_list own_speeds(state::time_point now) const;
    /// Figures of this gateway and of the gateways in its availability zone.
    speed_list zone_speeds(state::time_point now) const;
    /// Figures of this gateway and of all reporting peers.
    speed_list all_speeds(state::time_point now) const;
    /// Replaces the figures that `peer` reported.
    void set_peer(state::time_point now, const report_source& peer, speed_list speeds);
    void forget_peer(const report_source& peer) { this->peers.erase(peer); }
    void forget_peers() { this->peers.clear(); }

private:
    struct service_record
    {
        explicit service_record(const engine_pace& prior);

        /// Time to first byte by prompt tokens.
        line_estimate first_byte;
        /// Time per output token by running requests.
        line_estimate step;
        /// Processes that gave samples.
        std::set<std::string, std::less<>> processes;
        /// Reports of peers count from then on.
        state::time_point peers_count_from{};
    };
    struct peer_report
    {
        state::time_point received{};
        speed_list speeds;
    };
    /// Weighted sum of figures.
    struct pace_sum
    {
        void add(const engine_pace& pace, double weight);
        engine_pace mean() const;

        double weight = 0.0;
        double ms_per_prompt_token = 0.0;
        double first_step_ms = 0.0;
        double step_ms = 0.0;
        double step_ms_per_request = 0.0;
    };
    using pace_sums = std::map<std::string, pace_sum, std::less<>>;

    service_record& record_of(const std::string& service);
    engine_pace own_pace(state::time_point now, const service_record& record) const;
    pace_sums own_sums(state::time_point now) const;
    static speed_list to_list(const pace_sums& sums);
    void add_report(pace_sums& sums, const peer_report& report) const;
    engine_pace to_pace(const protocol::service_speed& speed) const;

    engine_pace prior;
    std::map<std::string, service_record, std::less<>> services;
    std::map<report_source, peer_report> peers;
};

} // namespace pomelorouter::coordination
