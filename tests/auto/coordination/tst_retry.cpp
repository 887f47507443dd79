#include "coordination/retry_backoff.hpp"
#include "coordination/retry_budget.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <vector>

using namespace pomelorouter; // NOLINT(google-build-using-namespace): test file
using namespace pomelorouter::coordination; // NOLINT(google-build-using-namespace)
using state::microseconds;
using state::milliseconds;

namespace
{

constexpr std::int64_t retry_percent = 10;

struct outage
{
    int first;
    int last;
};

/// Returns the number of attempts for each request. Every attempt during an outage fails,
/// and every failure is retried up to 7 times if the budget allows it.
std::vector<int> attempts_of(int requests, const std::vector<outage>& outages,
                             random_source& random)
{
    retry_budget budget;
    std::vector<int> attempts;
    for (int i = 0; i < requests; ++i)
    {
        budget.on_request(retry_percent);
        int sent = 1;
        const bool has_outage = std::any_of(outages.begin(), outages.end(),
                                            [i](const outage& item)
                                            { return i >= item.first && i < item.last; });
        const bool fails = has_outage || random.below(200) == 0;
        while (fails && sent < 8 && budget.try_take())
            ++sent;
        attempts.push_back(sent);
    }
    return attempts;
}

} // namespace

// Guards against retries that multiply the load after an outage, and against a burst of
// retries at the start of a process, which a full bucket would allow.
TEST_CASE("attempts stay within 1.1 times the requests over any window")
{
    constexpr int requests = 5000;
    constexpr std::size_t min_window = 320; // see retry_budget
    for (const std::uint64_t seed : {1U, 2U, 3U, 4U})
    {
        CAPTURE(seed);
        random_source random(seed);
        std::vector<outage> outages{{0, 50}};
        for (int i = 0; i < 4; ++i)
        {
            const int first = static_cast<int>(random.below(requests));
            outages.push_back({first, first + 200});
        }
        const auto attempts = attempts_of(requests, outages, random);
        std::vector<int> sums{0};
        for (const int count : attempts)
            sums.push_back(sums.back() + count);
        int violations = 0;
        for (std::size_t from = 0; from < attempts.size(); ++from)
        {
            // From the start of the process, the limit holds for windows of any length.
            const std::size_t min_length = from == 0 ? 1 : min_window;
            for (std::size_t to = from + min_length; to <= attempts.size(); ++to)
            {
                const auto own = static_cast<double>(to - from);
                violations += sums[to] - sums[from] > 1.1 * own ? 1 : 0;
            }
        }
        CHECK(violations == 0);
        CHECK(sums.back() > requests); // some requests are retried
    }
}

// Guards against a single failed request that gets no second attempt without an outage.
TEST_CASE("an accumulated budget allows single retries")
{
    retry_budget budget;
    CHECK_FALSE(budget.try_take());
    for (int i = 0; i < 14; ++i)
        budget.on_request(retry_percent);
    CHECK(budget.try_take());
    CHECK_FALSE(budget.try_take());
    budget.give_back();
    CHECK(budget.try_take());
    for (int i = 0; i < 1000; ++i)
        budget.on_request(0);
    CHECK_FALSE(budget.try_take());
}

// Guards against retries after the deadline and against synchronized retries.
TEST_CASE("delays grow, are randomized and end before the deadline")
{
    const state::time_point now{std::chrono::hours(1)};
    random_source random(5);
    const auto far_deadline = now + std::chrono::seconds(100);
    std::vector<microseconds> max_delays(10, microseconds(0));
    for (int round = 0; round < 500; ++round)
    {
        retry_backoff backoff(milliseconds(10), milliseconds(1000));
        for (auto& max_delay : max_delays)
        {
            const auto delay = backoff.next(now, far_deadline, random);
            REQUIRE(delay);
            max_delay = std::max(max_delay, *delay);
        }
    }
    milliseconds bound(10);
    for (const auto& max_delay : max_delays)
    {
        CHECK(max_delay <= bound);
        CHECK(max_delay > bound / 2);
        bound = std::min(bound * 2, milliseconds(1000));
    }
    for (int round = 0; round < 500; ++round)
    {
        retry_backoff backoff(milliseconds(1000), milliseconds(1000));
        const auto deadline = now + microseconds(random.below(3000));
        const auto delay = backoff.next(now, deadline, random);
        if (deadline == now)
            CHECK_FALSE(delay);
        else
            CHECK(now + *delay < deadline);
    }
    retry_backoff backoff(milliseconds(10), milliseconds(1000));
    CHECK_FALSE(backoff.next(now, now - milliseconds(1), random));
}
