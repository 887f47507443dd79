#include "measurement.hpp"

#include <malloc.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <limits>
#include <map>

namespace pomelorouter::bench
{

namespace
{

constexpr int run_count = 3;
constexpr std::chrono::milliseconds min_run_duration{60};

struct fitted_line
{
    double intercept = 0.0;
    double slope = 0.0;
};

/// Fits a line to the points (size, value) by least squares.
fitted_line fit_line(const std::vector<std::pair<double, double>>& points)
{
    double sum_x = 0.0;
    double sum_y = 0.0;
    double sum_xx = 0.0;
    double sum_xy = 0.0;
    for (const auto& [x, y] : points)
    {
        sum_x += x;
        sum_y += y;
        sum_xx += x * x;
        sum_xy += x * y;
    }
    const auto count = static_cast<double>(points.size());
    const double divisor = count * sum_xx - sum_x * sum_x;
    if (divisor == 0.0)
        return {sum_y / count, 0.0};
    const double slope = (count * sum_xy - sum_x * sum_y) / divisor;
    return {(sum_y - slope * sum_x) / count, slope};
}

} // namespace

double microseconds_per_call(const std::function<void()>& operation)
{
    using clock = std::chrono::steady_clock;
    double fastest_us = std::numeric_limits<double>::max();
    for (int run = 0; run < run_count; ++run)
    {
        std::int64_t calls = 0;
        const auto begin = clock::now();
        auto now = begin;
        while (now - begin < min_run_duration)
        {
            operation();
            ++calls;
            now = clock::now();
        }
        const std::chrono::duration<double, std::micro> elapsed = now - begin;
        fastest_us = std::min(fastest_us, elapsed.count() / static_cast<double>(calls));
    }
    return fastest_us;
}

std::int64_t heap_bytes()
{
    const struct mallinfo2 info = mallinfo2();
    return static_cast<std::int64_t>(info.uordblks + info.hblkhd);
}

void print_slopes(const std::vector<measurement>& measurements)
{
    std::printf("| operation | size | us | bytes |\n| --- | ---: | ---: | ---: |\n");
    std::map<std::string, std::vector<std::pair<double, double>>> times_by_operation;
    std::map<std::string, std::vector<std::pair<double, double>>> bytes_by_operation;
    for (const measurement& item : measurements)
    {
        std::printf("| %s | %ld | %.2f | %ld |\n", item.operation.c_str(),
                    static_cast<long>(item.size), item.microseconds,
                    static_cast<long>(item.bytes));
        times_by_operation[item.operation].emplace_back(item.size, item.microseconds);
        bytes_by_operation[item.operation].emplace_back(item.size, item.bytes);
    }
    std::printf("\n| operation | us = a + b * size | bytes = c + d * size |\n| --- | --- "
                "| --- |\n");
    for (const auto& [operation, points] : times_by_operation)
    {
        const fitted_line time = fit_line(points);
        const fitted_line bytes = fit_line(bytes_by_operation[operation]);
        std::printf("| %s | %.2f + %.4f * size | %.0f + %.2f * size |\n",
                    operation.c_str(), time.intercept, time.slope, bytes.intercept,
                    bytes.slope);
    }
}

} // namespace pomelorouter::bench
