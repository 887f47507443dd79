#include "coordination/admission.hpp"
#include "coordination/limit_share.hpp"
#include "coordination/random_source.hpp"
#include "coordination/work_estimator.hpp"

#include <doctest/doctest.h>

#include <numeric>
#include <vector>

using namespace pomelorouter; // NOLINT(google-build-using-namespace): test file
using namespace pomelorouter::coordination; // NOLINT(google-build-using-namespace)
using state::error_code;
using state::milliseconds;

namespace
{

const state::time_point now{std::chrono::hours(1)};

admission_limits limits_of(std::int64_t in_flight, std::int64_t queue,
                           std::int64_t bytes = 1000000)
{
    admission_limits limits;
    limits.service_in_flight = in_flight;
    limits.max_queue = queue;
    limits.max_queue_bytes = bytes;
    return limits;
}

admission_request request_of(std::int64_t priority, milliseconds deadline,
                             milliseconds engine_wait = milliseconds(0))
{
    admission_request request;
    request.model = "m";
    request.priority = priority;
    request.bytes = 100;
    request.deadline = now + deadline;
    request.engine_wait = engine_wait;
    return request;
}

} // namespace

// Guards against requests that stay queued although they cannot be answered in time.
TEST_CASE("a request that cannot meet its deadline is refused at once")
{
    struct row
    {
        const char* name;
        milliseconds deadline;
        milliseconds engine_wait;
        admission_verdict verdict;
    };
    const row rows[] = {
        {"wait ends before the deadline", milliseconds(100), milliseconds(50),
         admission_verdict::admitted},
        {"wait ends after the deadline", milliseconds(100), milliseconds(150),
         admission_verdict::refused},
        {"deadline has passed", milliseconds(0), milliseconds(0),
         admission_verdict::refused},
    };
    for (const row& item : rows)
    {
        CAPTURE(item.name);
        admission control;
        const auto result = control.offer(request_of(5, item.deadline, item.engine_wait),
                                          limits_of(0, 10), now);
        CHECK(result.verdict == item.verdict);
        if (item.verdict != admission_verdict::refused)
            continue;
        CHECK(result.reason == error_code::deadline_unreachable);
        CHECK(result.retry_after > milliseconds(0));
        CHECK(control.queued() == 0);
    }
    // The expected wait in the queue of the node counts as well.
    admission control;
    const auto limits = limits_of(1, 100);
    CHECK(control.offer(request_of(5, milliseconds(10000)), limits, now).verdict ==
          admission_verdict::admitted);
    control.release("m", milliseconds(400));
    CHECK(control.offer(request_of(5, milliseconds(10000)), limits, now).verdict ==
          admission_verdict::admitted);
    CHECK(control.offer(request_of(5, milliseconds(10000)), limits, now).verdict ==
          admission_verdict::queued);
    const auto result = control.offer(request_of(5, milliseconds(700)), limits, now);
    CHECK(result.reason == error_code::deadline_unreachable);
    CHECK(result.retry_after >= milliseconds(700));
    // A request with a higher priority overtakes the waiting one.
    CHECK(control.offer(request_of(9, milliseconds(700)), limits, now).verdict ==
          admission_verdict::queued);
    // Requests that can no longer meet their deadline are removed before it passes.
    CHECK_FALSE(control.remove_late(now));
    CHECK(control.remove_late(now + milliseconds(350)));
    CHECK(control.queued() == 1);
}

// Guards against a queue that grows without limit in requests or in bytes.
TEST_CASE("the queue respects its limits and admits requests by priority")
{
    admission control;
    const auto limits = limits_of(1, 3, 250);
    const milliseconds deadline(1000);
    CHECK(control.offer(request_of(5, deadline), limits, now).verdict ==
          admission_verdict::admitted);
    const auto low = control.offer(request_of(1, deadline), limits, now);
    const auto high = control.offer(request_of(7, deadline), limits, now);
    CHECK(low.verdict == admission_verdict::queued);
    const auto full = control.offer(request_of(9, deadline), limits, now);
    CHECK(full.verdict == admission_verdict::refused); // 300 bytes exceed the limit
    CHECK(full.reason == error_code::overloaded);
    CHECK_FALSE(control.begin_load_wait(100, limits));
    CHECK_FALSE(control.admit_next());
    control.release("m", milliseconds(10));
    CHECK(control.admit_next() == high.ticket);
    CHECK_FALSE(control.admit_next());
    control.cancel(low.ticket);
    CHECK(control.queued_bytes() == 0);
    control.release("m", milliseconds(10));
    CHECK(control.in_flight() == 0);
    const auto narrow = limits_of(1, 2);
    CHECK(control.begin_load_wait(100, narrow));
    CHECK(control.begin_load_wait(100, narrow));
    CHECK_FALSE(control.begin_load_wait(100, narrow));
}

// Guards against shares of the nodes that together exceed or underuse the limit.
TEST_CASE("the shares of the nodes add up to the limit and follow the demand")
{
    random_source random(3);
    for (int round = 0; round < 200; ++round)
    {
        std::vector<std::int64_t> demand(1 + random.below(40));
        for (auto& amount : demand)
            amount = random.below(3) == 0 ? 0 : random.below(1000);
        const auto limit = static_cast<std::int64_t>(random.below(500));
        std::int64_t sum = 0;
        for (std::size_t i = 0; i < demand.size(); ++i)
        {
            const std::int64_t share = share_of_limit(limit, demand, i);
            CHECK(share >= (limit >= static_cast<std::int64_t>(demand.size()) ? 1 : 0));
            sum += share;
        }
        CHECK(sum == limit);
    }
    const std::vector<std::int64_t> demand{900, 100, 0};
    CHECK(share_of_limit(100, demand, 0) > 80);
    CHECK(share_of_limit(100, demand, 2) == 1);
}

// Guards against estimates of max_tokens for models that usually stop early, which would
// lead to refusals of requests that can be served.
TEST_CASE("the expected number of tokens follows the output of similar requests")
{
    work_estimator estimator;
    CHECK(estimator.expected_tokens("s/m", 1000) == 1000);
    for (int i = 0; i < 50; ++i)
    {
        estimator.record("s/m", 1000, 100);
        estimator.record("s/m", 16, 16);
    }
    CHECK(estimator.expected_tokens("s/m", 1000) == 100);
    CHECK(estimator.expected_tokens("s/m", 16) == 16);
    CHECK(estimator.expected_tokens("s/other", 1000) == 1000);
    CHECK(estimator.expected_tokens("s/m", 0) == 1);
}
