#include "gateway_fixture.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

// Limits of the requests per second that backend servers name in their responses.

namespace
{

using namespace pomelorouter; // NOLINT(google-build-using-namespace): test file
using state::milliseconds;
using test::chunk;
using test::event;
using test::gateway_fixture;
using test::raw_reply;

constexpr int gateways = 4;
/// Time that gateways have to keep a limit after it was first named.
constexpr milliseconds contact_time{3000};
constexpr milliseconds window{4000};
/// Requests allowed in a window: one and a half times the limit, and five.
constexpr std::size_t allowed_at_one_per_s = 11;

/// Several gateways before engines that may name a limit. All requests are for one model.
class limited_day
{
public:
    explicit limited_day(std::size_t engine_count)
    {
        for (std::size_t index = 0; index < engine_count; ++index)
        {
            this->engines.emplace_back();
            this->test.add_backend("e" + std::to_string(index), "models",
                                   [this, index](const transport::http_request& request) {
                                       return this->answer(this->engines[index], request);
                                   },
                                   {"m1"});
        }
        this->test.put_config(1);
        this->test.start();
        this->test.run_until([this]
                             { return this->test.store.end("keyed.gateways") >= 1; });
        for (int index = 2; index <= gateways; ++index)
            this->start_gateway("gateway-" + std::to_string(index));
        const auto knows_all = [](app::gateway& gateway)
        { return gateway.is_ready() && gateway.shared_state().gateways == gateways; };
        this->test.run_until(
            [&]
            {
                return knows_all(*this->test.gateway) &&
                       std::all_of(this->others.begin(), this->others.end(),
                                   [&](auto& gateway) { return knows_all(*gateway); });
            });
    }

    /// Sets the limit that the first engine names; an empty text names none.
    void set_limit(std::string limit)
    {
        this->engines[0].limit = std::move(limit);
        this->changed_at = state::now();
        this->engines[0].arrivals.clear();
    }

    /// Lets the second engine break off each stream after its first event.
    void break_off_streams() { this->engines[1].breaks_off = true; }

    /// Starts the first engine again under its id.
    void restart_first_engine()
    {
        this->set_limit("");
        this->test.put_entry("e0", "models", this->test.backends[0]->address, "ready",
                             {"m1"}, 2);
    }

    /// Sends 20 requests a second, to each gateway in turn.
    void play(milliseconds duration)
    {
        const state::time_point end = state::now() + duration;
        while (state::now() < end)
        {
            const state::time_point sent_at = state::now();
            this->send();
            this->test.run_for(std::max(
                milliseconds(1),
                milliseconds(50) -
                    std::chrono::duration_cast<milliseconds>(state::now() - sent_at)));
        }
    }

    void send()
    {
        const std::string attempt = "a" + std::to_string(++this->sent);
        transport::http_request request = this->test.request("/stream/x", attempt, "m1");
        request.set("X-Pomelorouter-Prompt-Prefix",
                    "5c1e07a2:60," + std::to_string(1000 + this->sent) + ":40");
        const int index = this->sent % gateways;
        const app::gateway& target =
            index == 0 ? *this->test.gateway : *this->others[index - 1];
        const state::time_point sent_at = state::now();
        const auto response =
            this->test.fetch_from(target.own_settings().listen, request);
        if (!response)
        {
            ++this->broken_off;
            return;
        }
        this->longest = std::max(this->longest, state::since(sent_at));
        if (response->result_int() == 200)
        {
            ++this->served;
            return;
        }
        const unsigned status = response->result_int();
        CHECK((status == 429 || status == 503));
        ++this->refused;
        const std::string retry_after((*response)["Retry-After"]);
        REQUIRE(!retry_after.empty());
        CHECK(std::stod(retry_after) > 0.0);
        CHECK(std::stod(retry_after) <= 10.0);
    }

    /// Largest number of requests that the first engine got in a window that begins
    /// `contact_time` after its limit was set or later.
    std::size_t most_in_window() const
    {
        const std::vector<state::time_point>& times = this->engines[0].arrivals;
        std::size_t most = 0;
        auto first = std::find_if(times.begin(), times.end(),
                                  [this](state::time_point time)
                                  { return time >= this->changed_at + contact_time; });
        for (auto last = first; last != times.end(); ++last)
        {
            while (*last - *first > window)
                ++first;
            most = std::max(most, static_cast<std::size_t>(last - first) + 1);
        }
        return most;
    }

    std::size_t arrivals() const { return this->engines[0].arrivals.size(); }

    int sent = 0;
    int served = 0;
    int refused = 0;
    int broken_off = 0;
    milliseconds longest{0};
    gateway_fixture test;

private:
    struct engine
    {
        std::string limit;
        bool breaks_off = false;
        std::vector<state::time_point> arrivals;
    };

    void start_gateway(const std::string& name)
    {
        state::gateway_settings settings = this->test.settings;
        settings.node_id = name;
        settings.seeds = {this->test.gateway->own_settings().control_listen};
        this->others.push_back(std::make_unique<app::gateway>(
            this->test.loop, settings, this->test.settings_path, *this->test.adapter,
            this->test.counters));
        this->others.back()->start();
    }

    static raw_reply answer(engine& target, const transport::http_request& request)
    {
        if (request.target() != "/stream/x")
            return {{"HTTP/1.1 404 No\r\nContent-Length: 0\r\n\r\n"}};
        target.arrivals.push_back(state::now());
        std::string head =
            test::stream_head(std::string(request["X-Pomelorouter-Attempt-Id"]));
        if (!target.limit.empty())
            head.insert(head.size() - 2, "Server-Limit: " + target.limit + "\r\n");
        if (target.breaks_off)
            return {{head, chunk(event(1))}, test::reply_end::close};
        return {{head, chunk(event(1)), "0\r\n\r\n"}};
    }

    std::vector<engine> engines;
    std::vector<std::unique_ptr<app::gateway>> others;
    state::time_point changed_at{};
};

} // namespace

// Guards against odd values of a header field that other programs write.
TEST_CASE("the limit in a response is read, or reported as unreadable")
{
    struct row
    {
        const char* name;
        std::vector<std::string> values;
        std::optional<double> limit;
        bool is_unreadable;
    };
    const std::vector<row> rows{
        {"absent", {}, std::nullopt, false},
        {"a whole number", {"3"}, 3.0, false},
        {"a fraction", {"0.25"}, 0.25, false},
        {"zero", {"0"}, 0.0, false},
        {"with white space", {" 2 "}, 2.0, false},
        {"huge", {"1e300"}, 1e300, false},
        {"out of range", {"1e999"}, std::nullopt, true},
        {"empty", {""}, std::nullopt, true},
        {"negative", {"-1"}, std::nullopt, true},
        {"text", {"many"}, std::nullopt, true},
        {"a number with text", {"5 per second"}, std::nullopt, true},
        {"infinite", {"inf"}, std::nullopt, true},
        {"not a number", {"nan"}, std::nullopt, true},
        {"twice", {"4", "2"}, 2.0, false},
        {"twice in one field", {"2, 4"}, 2.0, false},
        {"twice, once unreadable", {"many", "4"}, 4.0, false},
    };
    const auto adapter = platform::make_adapter();
    for (const row& item : rows)
    {
        CAPTURE(item.name);
        transport::http_response head;
        for (const std::string& value : item.values)
            head.insert("Server-Limit", value);
        const app::response_metadata response = adapter->requests().read_response(head);
        CHECK(response.rate_limit == item.limit);
        CHECK(response.is_rate_limit_unreadable == item.is_unreadable);
    }
}

TEST_SUITE_BEGIN("long_server_limit");

// Guards against gateways that together exceed the limit of a backend server.
TEST_CASE("a backend server gets no more requests than the limit that it named")
{
    limited_day day(2);
    day.set_limit("1");
    day.play(contact_time + 2 * window);
    CHECK(day.most_in_window() <= allowed_at_one_per_s);
    // The other engine serves what the limited one may not get.
    CHECK(day.refused == 0);
    CHECK(day.broken_off == 0);
}

// Guards against streams that are resumed at a backend server beyond its limit.
TEST_CASE("resumed streams count towards the limit of a backend server")
{
    limited_day day(2);
    day.break_off_streams();
    day.set_limit("1");
    day.play(contact_time + window);
    CHECK(day.most_in_window() <= allowed_at_one_per_s);
    CHECK(day.arrivals() > 0);
}

// Guards against gateways that keep to a limit that the backend server has changed.
TEST_CASE("a limit that rises or falls is kept as it was last named")
{
    limited_day day(1);
    day.set_limit("1");
    day.play(contact_time);
    day.set_limit("10");
    day.play(contact_time);
    CHECK(day.arrivals() >= 10);
    day.set_limit("1");
    day.play(contact_time + window);
    CHECK(day.most_in_window() <= allowed_at_one_per_s);
}

// Guards against callers that are held up, or not told when to come back, because the
// only engine with their model is limited.
TEST_CASE("requests beyond the limit of the only engine are refused at once")
{
    limited_day day(1);
    day.set_limit("1");
    day.play(contact_time + 2 * window);
    CHECK(day.most_in_window() <= allowed_at_one_per_s);
    CHECK(day.arrivals() >= 5);
    CHECK(day.longest < milliseconds(1500));
    CHECK(day.broken_off == 0);
}

// Guards against a backend server that stays limited after its need has ended.
TEST_CASE("a backend server that names no limit any more is used as before")
{
    limited_day day(1);
    day.set_limit("1");
    day.play(contact_time);
    day.set_limit("");
    day.play(contact_time);
    day.served = 0;
    day.refused = 0;
    day.play(milliseconds(1000));
    CHECK(day.served > 0);
    CHECK(day.refused == 0);
}

// Guards against a limit that outlives the process that named it.
TEST_CASE("a backend server that has started again is not limited")
{
    limited_day day(1);
    day.set_limit("0.1");
    day.play(contact_time);
    day.restart_first_engine();
    day.play(contact_time);
    day.served = 0;
    day.refused = 0;
    day.play(milliseconds(1000));
    CHECK(day.served > 0);
    CHECK(day.refused == 0);
}

TEST_SUITE_END();
