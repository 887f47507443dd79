#include "summary.hpp"

#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/indexed.hpp>
#include <boost/histogram/make_histogram.hpp>

#include <array>
#include <cstdio>

namespace pomelorouter::bench
{

namespace
{

namespace bh = boost::histogram;

// 2,000 logarithmic bins from 10 us to 1,000 s: each is 0.93 % wide.
constexpr unsigned histogram_bins = 2000;
constexpr double lowest_us = 10.0;
constexpr double highest_us = 1e9;

/// Histogram of durations in microseconds.
class duration_histogram
{
public:
    void add(std::int64_t value_us)
    {
        this->histogram(static_cast<double>(std::max<std::int64_t>(value_us, 10)));
        ++this->count;
    }

    double quantile(double share) const
    {
        double seen = 0.0;
        for (const auto& bin : bh::indexed(this->histogram))
        {
            seen += *bin;
            if (seen > 0.0 && seen >= share * static_cast<double>(this->count))
                return bin.bin().upper();
        }
        return 0.0;
    }

private:
    using axis = bh::axis::regular<double, bh::axis::transform::log>;
    decltype(bh::make_histogram(axis(histogram_bins, lowest_us, highest_us))) histogram =
        bh::make_histogram(axis(histogram_bins, lowest_us, highest_us));
    std::int64_t count = 0;
};

struct totals
{
    std::int64_t in_time = 0;
    std::int64_t late = 0;
    std::int64_t refused = 0;
    std::int64_t failed = 0;
    std::int64_t peak = 0;
    std::int64_t peak_tokens_in_time = 0;
    std::int64_t peak_refused = 0;
    duration_histogram first_token;
    duration_histogram short_first_token;
    duration_histogram total;
    duration_histogram gap;
    duration_histogram refusal;
};

void add_result(totals& sums, const request_result& result)
{
    sums.peak += result.is_peak ? 1 : 0;
    if (result.outcome == request_outcome::refused)
    {
        ++sums.refused;
        sums.peak_refused += result.is_peak ? 1 : 0;
        sums.refusal.add(result.total_us);
        return;
    }
    if (result.outcome == request_outcome::failed)
    {
        ++sums.failed;
        return;
    }
    if (result.outcome == request_outcome::late)
        ++sums.late;
    else
    {
        ++sums.in_time;
        sums.peak_tokens_in_time += result.is_peak ? result.tokens : 0;
    }
    sums.first_token.add(result.first_token_us);
    if (!result.is_long)
        sums.short_first_token.add(result.first_token_us);
    sums.total.add(result.total_us);
    sums.gap.add(result.largest_gap_us);
}

double number_of(const boost::json::object& summary, std::string_view key)
{
    const boost::json::value* value = summary.if_contains(key);
    return value == nullptr ? 0.0 : value->to_number<double>();
}

} // namespace

boost::json::object summarize(const std::vector<request_result>& results,
                              const run_context& context)
{
    totals sums;
    for (const request_result& result : results)
        add_result(sums, result);
    boost::json::object summary;
    summary["name"] = context.name;
    summary["requests"] = results.size();
    summary["in_time"] = sums.in_time;
    summary["late"] = sums.late;
    summary["refused"] = sums.refused;
    summary["failed"] = sums.failed;
    summary["in_time_per_engine"] =
        static_cast<double>(sums.in_time) / static_cast<double>(context.engines);
    summary["first_token_p50_us"] = sums.first_token.quantile(0.50);
    summary["first_token_p95_us"] = sums.first_token.quantile(0.95);
    summary["first_token_p99_us"] = sums.first_token.quantile(0.99);
    summary["short_first_token_p99_us"] = sums.short_first_token.quantile(0.99);
    summary["largest_gap_p95_us"] = sums.gap.quantile(0.95);
    summary["total_p50_us"] = sums.total.quantile(0.50);
    summary["total_p99_us"] = sums.total.quantile(0.99);
    summary["refusal_p99_us"] = sums.refusal.quantile(0.99);
    summary["peak_requests"] = sums.peak;
    summary["peak_refused"] = sums.peak_refused;
    summary["peak_tokens_in_time"] = sums.peak_tokens_in_time;
    summary["capacity_tokens_per_s"] = context.capacity_tokens_per_s;
    return summary;
}

std::string format_table(const std::vector<boost::json::object>& summaries)
{
    constexpr std::array<std::string_view, 17> keys{"requests",
                                                    "in_time",
                                                    "late",
                                                    "refused",
                                                    "failed",
                                                    "in_time_per_engine",
                                                    "first_token_p50_us",
                                                    "first_token_p95_us",
                                                    "first_token_p99_us",
                                                    "short_first_token_p99_us",
                                                    "largest_gap_p95_us",
                                                    "total_p50_us",
                                                    "total_p99_us",
                                                    "refusal_p99_us",
                                                    "peak_requests",
                                                    "peak_refused",
                                                    "peak_tokens_in_time"};
    std::array<char, 128> cell{};
    std::string table = "| figure |";
    for (const auto& summary : summaries)
        table += " " + std::string(summary.at("name").as_string()) + " |";
    table += "\n| --- |";
    for (std::size_t i = 0; i < summaries.size(); ++i)
        table += " ---: |";
    for (const std::string_view key : keys)
    {
        table += "\n| " + std::string(key) + " |";
        const double base = number_of(summaries.front(), key);
        for (const auto& summary : summaries)
        {
            const double value = number_of(summary, key);
            const double ratio = base > 0.0 ? value / base : 0.0;
            std::snprintf(cell.data(), cell.size(), " %.0f (%.2f) |", value, ratio);
            table += cell.data();
        }
    }
    return table + "\n";
}

} // namespace pomelorouter::bench
