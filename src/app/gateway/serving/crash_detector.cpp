#include "app/gateway/serving/crash_detector.hpp"

#include "coordination/backend_choice.hpp"
#include "state/log.hpp"
#include "transport/background_task.hpp"
#include "transport/http_error.hpp"

#include <utility>

namespace pomelorouter::app
{

namespace asio = boost::asio;
using coordination::backend_crash;
using state::milliseconds;
using state::now;

namespace
{

constexpr milliseconds connect_limit{400};
/// Calls to a process that ended may be reported for this long after its end.
constexpr state::seconds ended_process_ttl{60};

} // namespace

crash_detector::crash_detector(asio::any_io_executor loop_executor,
                               transport::http_client& backend_client,
                               state::counter_registry& counters, crash_callback on_crash)
    : executor(std::move(loop_executor)),
      client(backend_client),
      crashes(counters.count("backend_crashes_total",
                             "ends of backend servers' processes during calls")),
      crash_reported(std::move(on_crash))
{
}

void crash_detector::on_call_lost(const state::backend_entry& entry,
                                  std::optional<coordination::unanswered_call> call)
{
    const std::string process = coordination::backend_chooser::process_key(entry);
    const auto end_time = this->ended.find(process);
    const bool has_ended = end_time != this->ended.end();
    backend_crash single{entry.service, process, now(), {}, 0};
    if (has_ended)
        single.crashed_at = end_time->second;
    const auto [found, is_new] = has_ended ? std::pair(this->pending.end(), false)
                                           : this->pending.try_emplace(process, single);
    backend_crash& target = has_ended ? single : found->second;
    if (call)
        target.unanswered.push_back(std::move(*call));
    else
        ++target.interrupted_answers;
    if (has_ended)
        this->report(std::move(single));
    else if (is_new)
    {
        transport::spawn_task(this->executor, "crash_detector",
                              this->check(entry.address, process));
    }
}

/// A connection to a running process is accepted, also if the process has just broken off
/// a response.
asio::awaitable<void> crash_detector::check(std::string address, std::string process)
{
    std::string problem;
    try
    {
        transport::http_call_options options;
        options.connect_timeout = connect_limit;
        options.fresh_connection = true;
        co_await this->client.connect(address, options);
    }
    catch (const transport::http_error& failure)
    {
        problem = failure.what();
    }
    auto lost_calls = this->pending.extract(process);
    if (problem.empty())
        co_return;
    this->client.close_idle_connections(address);
    this->ended.emplace(process, lost_calls.mapped().crashed_at);
    this->crashes.add();
    this->report(std::move(lost_calls.mapped()));
}

void crash_detector::report(backend_crash crash)
{
    for (const coordination::unanswered_call& call : crash.unanswered)
    {
        std::vector<std::uint64_t> parts = call.parts;
        if (call.own_part)
            parts.push_back(*call.own_part);
        state::log_event(state::log_level::warning, "unanswered_call")
            .field("request", call.request)
            .field("backend", crash.process)
            .field("parts", coordination::format_part_ids(parts));
    }
    state::log_event(state::log_level::warning, "backend_crashed")
        .field("backend", crash.process)
        .field("service", crash.service)
        .field("unanswered", static_cast<std::uint64_t>(crash.unanswered.size()))
        .field("interrupted", static_cast<std::uint64_t>(crash.interrupted_answers));
    this->crash_reported(crash);
}

void crash_detector::forget_old(state::time_point now)
{
    for (auto item = this->ended.begin(); item != this->ended.end();)
    {
        item = now - item->second > ended_process_ttl ? this->ended.erase(item)
                                                      : std::next(item);
    }
}

} // namespace pomelorouter::app
