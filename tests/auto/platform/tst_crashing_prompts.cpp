#include "gateway_fixture.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <memory>
#include <optional>
#include <string>
#include <vector>

// Requests that crash each engine that begins to answer them. Such a request differs from
// others only in one part of its prompt.

namespace
{

using namespace pomelorouter; // NOLINT(google-build-using-namespace): test file
using state::milliseconds;
using test::chunk;
using test::event;
using test::gateway_fixture;
using test::raw_reply;
using test::reply_end;
using test::stream_head;

constexpr int engines = 8;
constexpr int crashes_allowed = 5;
/// Time that the gateways have to learn of a crash.
constexpr milliseconds contact_time{3000};
constexpr milliseconds engine_restart_time{3000};
constexpr const char* harmful_part = "bad0";

/// Two gateways before engines that crash under requests with one prompt part.
class crashing_day
{
public:
    /// The store keeps `quarantines` of earlier gateways.
    explicit crashing_day(const test::fake_store* quarantines = nullptr)
    {
        if (quarantines != nullptr)
            this->test.store.copy("keyed.quarantine", *quarantines);
        for (int index = 0; index < engines; ++index)
        {
            this->test.add_backend("e" + std::to_string(index), "models",
                                   [this](const transport::http_request& request)
                                   { return this->answer(request); },
                                   {"m1"});
        }
        this->born.resize(engines, 1);
        this->restart_at.resize(engines);
        this->test.put_config(1);
        this->start_gateways();
    }

    void start_gateways()
    {
        this->test.start();
        this->test.run_until([this]
                             { return this->test.store.end("keyed.gateways") >= 1; });
        state::gateway_settings settings = this->test.settings;
        settings.node_id = "gateway-2";
        settings.seeds = {this->test.gateway->own_settings().control_listen};
        this->second = std::make_unique<app::gateway>(
            this->test.loop, settings, this->test.settings_path, *this->test.adapter,
            this->test.counters);
        this->second->start();
        this->test.run_until(
            [this]
            {
                return this->second->is_ready() &&
                       this->test.gateway->shared_state().gateways == 2 &&
                       this->second->shared_state().gateways == 2;
            });
    }

    /// Sends one harmful and two sound requests at a time for `duration`, to each gateway
    /// in turn.
    void play(milliseconds duration)
    {
        const state::time_point end = state::now() + duration;
        while (state::now() < end)
        {
            this->send_harmful();
            this->send_sound();
            this->send_sound();
            this->test.run_for(milliseconds(40));
            this->restart_engines();
        }
    }

    std::optional<transport::http_response> send(const std::string& prompt)
    {
        return this->send_whole(prompt + "," + std::to_string(1001 + this->sent) + ":40");
    }

    std::optional<transport::http_response> send_whole(const std::string& prompt)
    {
        const std::string attempt = "a" + std::to_string(++this->sent);
        transport::http_request request = this->test.request("/stream/x", attempt, "m1");
        request.set("X-Pomelorouter-Prompt-Prefix", prompt);
        const app::gateway& target =
            this->sent % 2 == 0 ? *this->test.gateway : *this->second;
        return this->test.fetch_from(target.own_settings().listen, request);
    }

    void send_harmful()
    {
        const state::time_point time = state::now();
        const int before = this->harmful_arrivals;
        this->last_refusal =
            this->harmful_part_is_last
                ? this->send_whole(std::string("5c1e07a2:60,900d:30,") + harmful_part +
                                   ":40")
                : this->send(std::string("5c1e07a2:60,") + harmful_part + ":30");
        this->harmful.push_back({time, this->harmful_arrivals - before});
    }

    void send_sound()
    {
        const state::time_point time = state::now();
        const auto response = this->send("5c1e07a2:60,900d:30");
        this->sound.push_back({time, response && response->result_int() == 200 ? 1 : 0});
    }

    /// Requests sent later than `delay` after the fifth crash, or after the last one if
    /// there were fewer, and how many of them were served or reached an engine.
    struct summary
    {
        int sent = 0;
        int counted = 0;
    };
    summary late_harmful(milliseconds delay) const
    {
        return this->late(this->harmful, delay);
    }
    summary late_sound(milliseconds delay) const
    {
        return this->late(this->sound, delay);
    }

    /// Harmful requests that reached engines.
    int arrivals() const { return this->harmful_arrivals; }

    /// Harmful requests have the same last part, and share all others with sound ones.
    bool harmful_part_is_last = false;
    std::optional<transport::http_response> last_refusal;
    gateway_fixture test;

private:
    struct sent_request
    {
        state::time_point sent_at{};
        /// 1 if a sound request was served; the engines that a harmful one reached.
        int count = 0;
    };

    summary late(const std::vector<sent_request>& requests, milliseconds delay) const
    {
        summary result;
        if (this->crashes.empty())
            return result;
        const std::size_t last =
            std::min<std::size_t>(this->crashes.size(), crashes_allowed) - 1;
        for (const sent_request& request : requests)
        {
            if (request.sent_at <= this->crashes[last] + delay)
                continue;
            ++result.sent;
            result.counted += request.count;
        }
        return result;
    }

    raw_reply answer(const transport::http_request& request)
    {
        if (request.target() != "/stream/x")
            return {{"HTTP/1.1 404 No\r\nContent-Length: 0\r\n\r\n"}};
        const std::string attempt(request["X-Pomelorouter-Attempt-Id"]);
        const std::string prompt(request["X-Pomelorouter-Prompt-Prefix"]);
        if (prompt.find(harmful_part) == std::string::npos)
            return {{stream_head(attempt), chunk(event(1)), "0\r\n\r\n"}};
        ++this->harmful_arrivals;
        this->crashes.push_back(state::now());
        return {{stream_head(attempt)}, reply_end::crash, milliseconds(20)};
    }

    void restart_engines()
    {
        for (std::size_t index = 0; index < engines; ++index)
        {
            test::raw_backend& engine = *this->test.backends[index];
            state::time_point& restart = this->restart_at[index];
            if (engine.is_running())
                continue;
            if (restart == state::time_point())
                restart = state::now() + engine_restart_time;
            if (state::now() < restart)
                continue;
            restart = {};
            engine.restart();
            this->test.put_entry("e" + std::to_string(index), "models", engine.address,
                                 "ready", {"m1"}, ++this->born[index]);
        }
    }

    std::unique_ptr<app::gateway> second;
    std::vector<int> born;
    std::vector<state::time_point> restart_at;
    std::vector<state::time_point> crashes;
    std::vector<sent_request> harmful;
    std::vector<sent_request> sound;
    int harmful_arrivals = 0;
    int sent = 0;
};

} // namespace

TEST_SUITE_BEGIN("long_crashing_prompts");

// Guards against requests that crash one engine after the other.
TEST_CASE("requests with a prompt part that crashes engines stop reaching engines")
{
    crashing_day day;
    day.play(milliseconds(8000));
    const crashing_day::summary late = day.late_harmful(contact_time);
    REQUIRE(late.sent >= 20);
    CHECK(late.counted <= 3);
}

// Guards against harmful requests that differ from sound ones in their last part only,
// which requests of one session share.
TEST_CASE("requests with a last prompt part that crashes engines stop reaching engines")
{
    crashing_day day;
    day.harmful_part_is_last = true;
    day.play(milliseconds(8000));
    const crashing_day::summary late = day.late_harmful(contact_time);
    REQUIRE(late.sent >= 20);
    CHECK(late.counted <= 3);
    const crashing_day::summary sound = day.late_sound(contact_time);
    REQUIRE(sound.sent >= 20);
    CHECK(sound.counted * 2 >= sound.sent);
}

// Guards against callers that are refused because engines crash under requests of others.
TEST_CASE("requests that share other prompt parts are served beside crashing ones")
{
    crashing_day day;
    for (int index = 0; index < 20; ++index)
        day.send_sound();
    day.play(milliseconds(10000));
    const crashing_day::summary late = day.late_sound(2 * contact_time);
    REQUIRE(late.sent >= 20);
    CHECK(late.counted * 2 >= late.sent);
}

// Guards against engines that crash again because no gateway is left that knows the part.
TEST_CASE("a prompt part stays quarantined when all gateways start again")
{
    crashing_day day;
    day.play(milliseconds(2000));
    day.test.run_until([&day] { return day.test.store.end("keyed.quarantine") >= 1; });
    // One gateway saves it for all.
    CHECK(day.test.store.end("keyed.quarantine") == 1);
    crashing_day next(&day.test.store);
    next.play(milliseconds(1000));
    CHECK(next.arrivals() == 0);
}

// Guards against a quarantine that is lost when the store returns from an older copy.
TEST_CASE("a quarantine is saved again after the store's return")
{
    crashing_day day;
    day.test.store.era = 1;
    day.test.run_for(milliseconds(1500));
    day.test.store.save_copy();
    day.play(milliseconds(2000));
    day.test.run_until([&day] { return day.test.store.end("keyed.quarantine") >= 1; });
    day.test.store.return_to_copy();
    CHECK(day.test.store.end("keyed.quarantine") == 0);
    day.test.run_for(milliseconds(4000));
    CHECK(day.test.store.end("keyed.quarantine") == 1);
}

TEST_SUITE_END();
