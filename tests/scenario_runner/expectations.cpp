#include "runner.hpp"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <iostream>

namespace pomelorouter::scenario
{

using state::instance_kind;

namespace
{

constexpr std::size_t shown_results = 5;

std::string describe(const workload& work)
{
    std::string text =
        "answered " + std::to_string(work.count(request_outcome::answered)) +
        ", refused " + std::to_string(work.count(request_outcome::refused)) + ", lost " +
        std::to_string(work.count(request_outcome::lost)) + ", wrong " +
        std::to_string(work.count(request_outcome::wrong)) + " of " +
        std::to_string(work.results().size());
    std::size_t shown = 0;
    for (const request_result& item : work.results())
    {
        if (item.outcome == request_outcome::answered || shown++ >= shown_results)
            continue;
        text += "\n    " + item.key + " after " + std::to_string(item.duration.count()) +
                " ms: " + item.detail;
    }
    return text;
}

std::int64_t stat_number(const boost::json::value& stats, std::string_view key)
{
    const auto* object = stats.if_object();
    const auto* found = object == nullptr ? nullptr : object->if_contains(key);
    return found != nullptr && found->is_number() ? found->to_number<std::int64_t>() : 0;
}

/// Parses `at least N`, `at most N` or `N` and compares `value` with it.
bool matches(statement& line, std::int64_t value, std::string& wanted)
{
    enum class comparison
    {
        equal,
        least,
        most,
    };
    comparison kind = comparison::equal;
    if (line.accept("at"))
    {
        const std::string word = line.word("least or most");
        if (word != "least" && word != "most")
            line.fail("expected 'at least' or 'at most'");
        kind = word == "least" ? comparison::least : comparison::most;
    }
    const std::int64_t number = line.number("a number");
    wanted = std::to_string(number);
    if (kind == comparison::least)
        return value >= number;
    return kind == comparison::most ? value <= number : value == number;
}

} // namespace

std::map<std::string, runner::action> runner::expectations()
{
    std::map<std::string, action> table;
    table["answered"] = [this](statement& line)
    { this->expect_count(line, request_outcome::answered); };
    table["refused"] = [this](statement& line)
    { this->expect_count(line, request_outcome::refused); };
    table["lost"] = [this](statement& line)
    { this->expect_count(line, request_outcome::lost); };
    table["wrong"] = [this](statement& line)
    { this->expect_count(line, request_outcome::wrong); };
    table["refusals"] = [this](statement& line) { this->expect_refusals(line); };
    table["orders"] = [this](statement& line) { this->expect_orders_once(line); };
    table["memory"] = [this](statement& line) { this->expect_memory(line); };
    table["quiet"] = [this](statement& line) { this->expect_quiet(line); };
    table["load"] = [this](statement& line) { this->expect_load(line); };
    table["stat"] = [this](statement& line) { this->expect_stat(line); };
    return table;
}

void runner::expect_count(statement& line, request_outcome outcome)
{
    const workload& work = this->wait_for_work(line);
    std::int64_t value = work.count(outcome);
    std::string wanted;
    const auto total = static_cast<std::int64_t>(work.results().size());
    if (line.accept("all"))
    {
        if (value != total)
            line.fail(describe(work));
    }
    else if (!matches(line, value, wanted))
    {
        line.fail(describe(work));
    }
}

void runner::expect_refusals(statement& line)
{
    const workload& work = this->wait_for_work(line);
    const std::string run = line.word("not_run, run or unknown");
    for (const request_result& item : work.results())
    {
        if (item.outcome != request_outcome::refused)
            continue;
        if (item.run != run || (run == "not_run" && !item.has_retry_after))
            line.fail("expected refusals with run '" + run +
                      "' (not_run needs Retry-After), received: " + item.detail);
    }
}

void runner::expect_orders_once(statement& line)
{
    const workload& work = this->wait_for_work(line);
    if (!line.accept("once"))
        line.fail("expected 'once'");
    std::map<std::string, std::int64_t> runs;
    for (scenario_process* service : this->processes.all(instance_kind::service))
    {
        const boost::json::value stats = this->processes.stats(service->entry.id);
        if (!stats.is_object())
            line.fail("no statistics from " + service->entry.id);
        for (const auto& item : stats.at("runs").as_object())
            runs[item.key()] += item.value().to_number<std::int64_t>();
    }
    // If any caller received an answer for a key, its order has been executed.
    for (const request_result& item : work.results())
    {
        const std::int64_t count = runs[item.key];
        if (count > 1)
            line.fail(item.key + " ran " + std::to_string(count) + " times");
        if (item.outcome == request_outcome::answered && count != 1)
            line.fail(item.key + " was answered but did not run");
        if (item.outcome == request_outcome::refused && item.run == "not_run" &&
            count != 0 && work.settings().copies == 1)
            line.fail(item.key + " ran but was refused as not run: " + item.detail);
    }
}

void runner::expect_memory(statement& line)
{
    if (!line.accept("kept"))
        line.fail("expected 'kept'");
    for (scenario_process* engine : this->processes.all(instance_kind::engine))
    {
        const boost::json::value stats = this->processes.stats(engine->entry.id);
        if (!stats.is_object())
            line.fail("no statistics from " + engine->entry.id);
        if (stat_number(stats, "memory_violations") > 0)
        {
            line.fail(engine->entry.id +
                      " was overcommitted: " + boost::json::serialize(stats));
        }
    }
}

void runner::expect_quiet(statement& line)
{
    constexpr std::int64_t ms_per_s = 1000;
    const std::string name = line.word("a backend server");
    if (!line.accept("after"))
        line.fail("expected 'after'");
    const std::int64_t limit_ms = line.number("seconds") * ms_per_s;
    const boost::json::value stats = this->processes.stats(name);
    if (!stats.is_object())
        line.fail("no statistics from " + name);
    for (const auto& arrival : stats.at("work_after_leaving_ms").as_array())
    {
        if (arrival.to_number<std::int64_t>() > limit_ms)
            line.fail("new work arrived " +
                      std::to_string(arrival.to_number<std::int64_t>()) +
                      " ms after the backend server was told to leave");
    }
}

void runner::expect_load(statement& line)
{
    constexpr std::int64_t percent = 100;
    if (!line.accept("at") || !line.accept("most"))
        line.fail("expected 'at most'");
    const std::int64_t limit = line.number("a limit in percent of the callers' requests");
    std::int64_t received = 0;
    for (scenario_process* engine : this->processes.all(instance_kind::engine))
    {
        received +=
            stat_number(this->processes.stats(engine->entry.id), "completions_received");
    }
    std::int64_t sent = 0;
    for (const auto& [name, work] : this->workloads)
        sent += work->settings().orders ? 0 : work->sent();
    if (received * percent > sent * limit)
        line.fail("the engines received " + std::to_string(received) +
                  " completions for " + std::to_string(sent) +
                  " requests of the callers");
}

void runner::expect_stat(statement& line)
{
    const std::string name = line.word("a stand-in");
    const std::string key = line.word("the name of a statistic");
    const std::int64_t value = stat_number(this->processes.stats(name), key);
    std::string wanted;
    if (!matches(line, value, wanted))
        line.fail(key + " is " + std::to_string(value));
}

} // namespace pomelorouter::scenario
