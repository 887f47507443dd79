#include "coordination/engine_speed.hpp"

#include <algorithm>
#include <cmath>

namespace pomelorouter::coordination
{

namespace
{

/// Weight of the prior, in samples.
constexpr double prior_samples = 4.0;
/// Each new sample reduces the weight of the earlier ones by this factor.
constexpr double sample_decay = 0.99;
/// Time constant with which samples lose their weight.
constexpr double sample_lifetime_s = 30.0;
/// A sample counts as at most this share more or less than the line. Noise on shared
/// machines makes single calls several times as long.
constexpr double max_deviation = 0.4;
/// Values of a fitted line are at least this share of the prior, since times of zero
/// would make every engine look free.
constexpr double min_prior_share = 0.02;
/// Numbers of prompt tokens and of running requests that occur on busy engines. They give
/// the prior its weight in the slope.
constexpr double many_prompt_tokens = 4000.0;
constexpr double many_running = 32.0;
/// Streams with fewer events show the pace of an engine too roughly.
constexpr std::uint64_t min_events = 4;
/// Speeds change slowly, so reports of peers count longer than those of loads.
constexpr state::seconds report_ttl{10};
/// Maximum number of processes whose samples are told apart.
constexpr std::size_t max_processes = 1024;
/// Speed below which a report counts as malformed.
constexpr double min_tokens_per_ms = 1e-3;
constexpr double ms_per_s = 1000.0;

double seconds_between(state::time_point from, state::time_point to)
{
    return std::chrono::duration<double>(to - from).count();
}

double age_decay(state::time_point from, state::time_point to)
{
    return std::exp(-std::max(seconds_between(from, to), 0.0) / sample_lifetime_s);
}

bool is_recent(state::time_point now, state::time_point received)
{
    return now - received <= report_ttl;
}

protocol::service_speed to_report(const std::string& service, const engine_pace& pace)
{
    return {service, pace.prompt_tokens_per_ms, pace.step_ms, pace.step_ms_per_request,
            pace.samples};
}

} // namespace

double engine_pace::ms_per_output_token(double running) const
{
    return this->step_ms + this->step_ms_per_request * running;
}

double engine_pace::prompt_share(double prompt_tokens_per_s) const
{
    const double share = prompt_tokens_per_s / (this->prompt_tokens_per_ms * ms_per_s);
    return std::clamp(share, 0.0, max_prompt_share);
}

line_estimate::line_estimate(double intercept_before, double slope_before,
                             double typical_far_x)
    : prior_intercept(intercept_before),
      prior_slope(slope_before),
      far_x(typical_far_x),
      fitted_intercept(intercept_before),
      fitted_slope(slope_before)
{
}

void line_estimate::add(state::time_point now, double x, double y)
{
    const double expected = this->fitted_intercept + this->fitted_slope * x;
    const double value =
        std::clamp(y, expected * (1.0 - max_deviation), expected * (1.0 + max_deviation));
    const double decay =
        sample_decay * (this->weight > 0.0 ? age_decay(this->updated, now) : 1.0);
    this->weight = this->weight * decay + 1.0;
    this->sum_x = this->sum_x * decay + x;
    this->sum_y = this->sum_y * decay + value;
    this->sum_xx = this->sum_xx * decay + x * x;
    this->sum_xy = this->sum_xy * decay + x * value;
    this->updated = now;
    this->fit();
}

/// Least squares over the samples and two points of the prior line, at 0 and at `far_x`.
void line_estimate::fit()
{
    constexpr double half = prior_samples / 2.0;
    const double far_y = this->prior_intercept + this->prior_slope * this->far_x;
    const double total = this->weight + prior_samples;
    const double x = this->sum_x + half * this->far_x;
    const double y = this->sum_y + half * (this->prior_intercept + far_y);
    const double xx = this->sum_xx + half * this->far_x * this->far_x;
    const double xy = this->sum_xy + half * this->far_x * far_y;
    const double spread = total * xx - x * x;
    const double slope = (total * xy - x * y) / spread;
    this->fitted_slope = std::max(slope, this->prior_slope * min_prior_share);
    this->fitted_intercept = std::max((y - this->fitted_slope * x) / total,
                                      this->prior_intercept * min_prior_share);
}

double line_estimate::samples(state::time_point now) const
{
    return this->weight * age_decay(this->updated, now);
}

engine_speed::service_record::service_record(const engine_pace& prior)
    : first_byte(prior.first_step_ms, 1.0 / prior.prompt_tokens_per_ms,
                 many_prompt_tokens),
      step(prior.step_ms, prior.step_ms_per_request, many_running)
{
}

void engine_speed::pace_sum::add(const engine_pace& pace, double added_weight)
{
    this->weight += added_weight;
    this->ms_per_prompt_token += added_weight / pace.prompt_tokens_per_ms;
    this->first_step_ms += added_weight * pace.first_step_ms;
    this->step_ms += added_weight * pace.step_ms;
    this->step_ms_per_request += added_weight * pace.step_ms_per_request;
}

engine_pace engine_speed::pace_sum::mean() const
{
    return {this->weight / this->ms_per_prompt_token, this->first_step_ms / this->weight,
            this->step_ms / this->weight, this->step_ms_per_request / this->weight,
            this->weight};
}

engine_speed::service_record& engine_speed::record_of(const std::string& service)
{
    return this->services.try_emplace(service, this->prior).first->second;
}

void engine_speed::on_first_byte(state::time_point now, const std::string& service,
                                 const std::string& process, double tokens,
                                 double elapsed_ms)
{
    service_record& record = this->record_of(service);
    record.first_byte.add(now, tokens, elapsed_ms);
    if (record.processes.size() < max_processes)
        record.processes.insert(process);
}

void engine_speed::on_stream_end(state::time_point now, const std::string& service,
                                 const stream_sample& sample)
{
    if (sample.events < min_events || sample.output_tokens == 0)
        return;
    // Removes the time that prompts of others took meanwhile.
    const double free_share =
        1.0 - this->of(now, service).prompt_share(sample.prompt_tokens_per_s);
    this->record_of(service).step.add(
        now, sample.running, sample.duration_ms * free_share / sample.output_tokens);
}

void engine_speed::retain(state::time_point now,
                          const std::set<std::string, std::less<>>& process_keys)
{
    for (auto& [service, record] : this->services)
    {
        if (record.processes.empty())
            continue;
        for (auto item = record.processes.begin(); item != record.processes.end();)
        {
            item = process_keys.count(*item) == 0 ? record.processes.erase(item)
                                                  : std::next(item);
        }
        if (!record.processes.empty())
            continue;
        record = service_record(this->prior);
        // Other gateways report calls before the release until they have noticed it.
        record.peers_count_from = now + report_ttl;
    }
}

engine_pace engine_speed::own_pace(state::time_point now,
                                   const service_record& record) const
{
    return {1.0 / record.first_byte.slope(), record.first_byte.intercept(),
            record.step.intercept(), record.step.slope(),
            std::max(record.first_byte.samples(now), record.step.samples(now))};
}

engine_pace engine_speed::to_pace(const protocol::service_speed& speed) const
{
    engine_pace result = this->prior;
    result.prompt_tokens_per_ms = speed.prompt_tokens_per_ms;
    result.step_ms = speed.step_ms;
    result.step_ms_per_request = speed.step_ms_per_request;
    result.samples = speed.samples;
    return result;
}

engine_pace engine_speed::of(state::time_point now, std::string_view service) const
{
    pace_sum sum;
    const auto found = this->services.find(service);
    double own_samples = 0.0;
    state::time_point peers_count_from{};
    engine_pace own = this->prior;
    if (found != this->services.end())
    {
        own = this->own_pace(now, found->second);
        own_samples = own.samples;
        peers_count_from = found->second.peers_count_from;
        sum.add(own, own.samples);
    }
    if (now >= peers_count_from)
    {
        for (const auto& [peer, report] : this->peers)
        {
            if (!is_recent(now, report.received))
                continue;
            for (const protocol::service_speed& speed : report.speeds)
            {
                if (speed.service == service)
                    sum.add(this->to_pace(speed), speed.samples);
            }
        }
    }
    sum.add(this->prior, 1.0);
    engine_pace result = sum.mean();
    result.samples -= 1.0;
    // Reports do not carry the first step.
    result.first_step_ms = (own.first_step_ms * own_samples + this->prior.first_step_ms) /
                           (own_samples + 1.0);
    return result;
}

engine_speed::pace_sums engine_speed::own_sums(state::time_point now) const
{
    pace_sums result;
    for (const auto& [service, record] : this->services)
    {
        const engine_pace pace = this->own_pace(now, record);
        if (pace.samples >= 1.0)
            result[service].add(pace, pace.samples);
    }
    return result;
}

void engine_speed::add_report(pace_sums& sums, const peer_report& report) const
{
    for (const protocol::service_speed& speed : report.speeds)
        sums[speed.service].add(this->to_pace(speed), speed.samples);
}

engine_speed::speed_list engine_speed::to_list(const pace_sums& sums)
{
    speed_list result;
    for (const auto& [service, sum] : sums)
        result.push_back(to_report(service, sum.mean()));
    return result;
}

engine_speed::speed_list engine_speed::own_speeds(state::time_point now) const
{
    return to_list(this->own_sums(now));
}

engine_speed::speed_list engine_speed::zone_speeds(state::time_point now) const
{
    pace_sums sums = this->own_sums(now);
    for (const auto& [peer, report] : this->peers)
    {
        if (peer.scope == protocol::load_scope::gateway &&
            is_recent(now, report.received))
            this->add_report(sums, report);
    }
    return to_list(sums);
}

engine_speed::speed_list engine_speed::all_speeds(state::time_point now) const
{
    pace_sums sums = this->own_sums(now);
    for (const auto& [peer, report] : this->peers)
    {
        if (is_recent(now, report.received))
            this->add_report(sums, report);
    }
    return to_list(sums);
}

void engine_speed::set_peer(state::time_point now, const report_source& peer,
                            speed_list speeds)
{
    // A report without calls or with a speed of zero says nothing.
    speeds.erase(std::remove_if(speeds.begin(), speeds.end(),
                                [](const protocol::service_speed& speed)
                                {
                                    return speed.samples <= 0.0 || speed.step_ms <= 0.0 ||
                                           speed.prompt_tokens_per_ms < min_tokens_per_ms;
                                }),
                 speeds.end());
    this->peers[peer] = {now, std::move(speeds)};
}

} // namespace pomelorouter::coordination
