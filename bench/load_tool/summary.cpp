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

// 2,000 logarithmic bins from 10 us to 1,000 s, each 0.93 % wide.
constexpr unsigned histogram_bins = 2000;
constexpr double lowest_us = 10.0;
constexpr double highest_us = 1e9;

/// Histogram of durations in microseconds with logarithmic bins.
class duration_histogram
{
public:
    void add(std::int64_t value_us)
    {
        this->histogram(static_cast<double>(std::max<std::int64_t>(value_us, 10)));
        ++this->count;
    }

    double quantile(double fraction) const
    {
        double cumulative_count = 0.0;
        for (const auto& bin : bh::indexed(this->histogram))
        {
            cumulative_count += *bin;
            if (cumulative_count > 0.0 &&
                cumulative_count >= fraction * static_cast<double>(this->count))
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

struct result_totals
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

void add_result(result_totals& totals, const request_result& result)
{
    totals.peak += result.is_peak ? 1 : 0;
    if (result.outcome == request_outcome::refused)
    {
        ++totals.refused;
        totals.peak_refused += result.is_peak ? 1 : 0;
        totals.refusal.add(result.total_us);
        return;
    }
    if (result.outcome == request_outcome::failed)
    {
        ++totals.failed;
        return;
    }
    if (result.outcome == request_outcome::late)
        ++totals.late;
    else
    {
        ++totals.in_time;
        totals.peak_tokens_in_time += result.is_peak ? result.tokens : 0;
    }
    totals.first_token.add(result.first_token_us);
    if (!result.is_long)
        totals.short_first_token.add(result.first_token_us);
    totals.total.add(result.total_us);
    totals.gap.add(result.largest_gap_us);
}

double number_at(const boost::json::object& summary, std::string_view key)
{
    const boost::json::value* value = summary.if_contains(key);
    return value == nullptr ? 0.0 : value->to_number<double>();
}

} // namespace

boost::json::object summarize(const std::vector<request_result>& results,
                              const run_context& context)
{
    result_totals totals;
    for (const request_result& result : results)
        add_result(totals, result);
    boost::json::object summary;
    summary["name"] = context.name;
    summary["requests"] = results.size();
    summary["in_time"] = totals.in_time;
    summary["late"] = totals.late;
    summary["refused"] = totals.refused;
    summary["failed"] = totals.failed;
    summary["in_time_per_engine"] =
        static_cast<double>(totals.in_time) / static_cast<double>(context.engines);
    summary["first_token_p50_us"] = totals.first_token.quantile(0.50);
    summary["first_token_p95_us"] = totals.first_token.quantile(0.95);
    summary["first_token_p99_us"] = totals.first_token.quantile(0.99);
    summary["short_first_token_p99_us"] = totals.short_first_token.quantile(0.99);
    summary["largest_gap_p95_us"] = totals.gap.quantile(0.95);
    summary["total_p50_us"] = totals.total.quantile(0.50);
    summary["total_p99_us"] = totals.total.quantile(0.99);
    summary["refusal_p99_us"] = totals.refusal.quantile(0.99);
    summary["peak_requests"] = totals.peak;
    summary["peak_refused"] = totals.peak_refused;
    summary["peak_tokens_in_time"] = totals.peak_tokens_in_time;
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
    std::array<char, 128> cell_text{};
    std::string table = "| figure |";
    for (const auto& summary : summaries)
        table += " " + std::string(summary.at("name").as_string()) + " |";
    table += "\n| --- |";
    for (std::size_t i = 0; i < summaries.size(); ++i)
        table += " ---: |";
    for (const std::string_view key : keys)
    {
        table += "\n| " + std::string(key) + " |";
        const double first_value = number_at(summaries.front(), key);
        for (const auto& summary : summaries)
        {
            const double value = number_at(summary, key);
            const double ratio = first_value > 0.0 ? value / first_value : 0.0;
            std::snprintf(cell_text.data(), cell_text.size(), " %.0f (%.2f) |", value,
                          ratio);
            table += cell_text.data();
        }
    }
    return table + "\n";
}

} // namespace pomelorouter::bench
