#include "coordination/prompt_quarantine.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace
{

using namespace pomelorouter; // NOLINT(google-build-using-namespace): test file
using coordination::backend_crash;
using coordination::prompt_quarantine;
using state::milliseconds;
using state::time_point;

using parts = std::vector<std::uint64_t>;

constexpr const char* service = "models";
constexpr milliseconds tick_period{100};
constexpr std::uint64_t system_part = 0xa;
constexpr std::uint64_t caller_part = 0xb;
constexpr std::uint64_t harmful_part = 0xbad;
constexpr milliseconds first_quarantine{30000};

time_point at(int ms)
{
    return time_point(std::chrono::hours(1)) + milliseconds(ms);
}

/// A crash under one request, which was sent 100 ms before.
backend_crash crash_of(const std::string& process, int ms, const parts& prompt,
                       int sent_before_ms = 100)
{
    return {service,
            process,
            at(ms),
            {{"request", prompt, at(ms) - milliseconds(sent_before_ms)}},
            0};
}

bool is_refused(const prompt_quarantine& quarantine, int ms, const parts& prompt,
                bool may_try = false)
{
    return quarantine.find(at(ms), service, prompt, may_try).has_value();
}

const parts harmful_prompt{system_part, caller_part, harmful_part};
const parts sound_prompt{system_part, caller_part};

/// Quarantines the harmful part at 1 s.
prompt_quarantine with_quarantine()
{
    prompt_quarantine quarantine;
    quarantine.on_crash(at(0), crash_of("e1@1", 0, harmful_prompt));
    quarantine.on_crash(at(200), crash_of("e2@1", 200, harmful_prompt));
    quarantine.on_crash(at(350), crash_of("e3@1", 350, harmful_prompt));
    quarantine.on_answer(at(400), service, sound_prompt);
    quarantine.tick(at(1000));
    return quarantine;
}

} // namespace

// Guards against harmful requests that are still sent although the evidence is complete.
TEST_CASE("a part is quarantined after successive crashes that nothing else explains")
{
    prompt_quarantine quarantine;
    quarantine.on_crash(at(0), crash_of("e1@1", 0, harmful_prompt));
    quarantine.on_answer(at(150), service, sound_prompt);
    quarantine.tick(at(200));
    CHECK_FALSE(is_refused(quarantine, 200, harmful_prompt));
    quarantine.on_crash(at(250), crash_of("e2@1", 250, harmful_prompt));
    quarantine.on_answer(at(300), service, sound_prompt);
    quarantine.tick(at(500));
    CHECK_FALSE(is_refused(quarantine, 500, harmful_prompt));
    quarantine.on_crash(at(550), crash_of("e3@1", 550, harmful_prompt));
    quarantine.tick(at(600));
    CHECK(is_refused(quarantine, 600, harmful_prompt));
    CHECK_FALSE(is_refused(quarantine, 600, sound_prompt));
    const auto found = quarantine.take_quarantined();
    REQUIRE(found.size() == 1);
    CHECK(found[0].key.part == harmful_part);
    CHECK(found[0].processes == std::vector<std::string>{"e1@1", "e2@1", "e3@1"});
    CHECK(to_string(found[0]).find("bad") != std::string::npos);
}

// Guards against sound requests that are refused because an engine crashed under them.
TEST_CASE("a part is not quarantined without sufficient evidence")
{
    struct row
    {
        const char* name;
        void (*play)(prompt_quarantine&);
    };
    const std::vector<row> rows{
        {"two crashes",
         [](prompt_quarantine& q)
         {
             q.on_crash(at(0), crash_of("e1@1", 0, harmful_prompt));
             q.on_crash(at(200), crash_of("e2@1", 200, harmful_prompt));
             q.on_answer(at(100), service, sound_prompt);
         }},
        {"crashes at the same time",
         [](prompt_quarantine& q)
         {
             for (const char* process : {"e1@1", "e2@1", "e3@1", "e4@1"})
                 q.on_crash(at(0), crash_of(process, 0, harmful_prompt));
             q.on_answer(at(100), service, sound_prompt);
         }},
        {"the same crash, seen twice",
         [](prompt_quarantine& q)
         {
             q.on_crash(at(0), crash_of("e1@1", 0, harmful_prompt));
             q.on_crash(at(200), crash_of("e1@1", 200, harmful_prompt));
             q.on_answer(at(300), service, sound_prompt);
         }},
        {"answered between the crashes",
         [](prompt_quarantine& q)
         {
             q.on_crash(at(0), crash_of("e1@1", 0, harmful_prompt));
             q.on_answer(at(100), service, harmful_prompt);
             q.on_crash(at(300), crash_of("e2@1", 300, harmful_prompt));
             q.on_crash(at(450), crash_of("e3@1", 450, harmful_prompt));
             q.on_answer(at(500), service, sound_prompt);
         }},
        {"answered before the crash is reported",
         [](prompt_quarantine& q)
         {
             q.on_answer(at(250), service, harmful_prompt);
             q.on_crash(at(300), crash_of("e1@1", 0, harmful_prompt));
             q.on_crash(at(300), crash_of("e2@1", 200, harmful_prompt));
             q.on_crash(at(450), crash_of("e3@1", 400, harmful_prompt));
             q.on_answer(at(400), service, sound_prompt);
         }},
        {"no request is answered",
         [](prompt_quarantine& q)
         {
             for (int i = 0; i < 6; ++i)
             {
                 q.on_crash(at(i * 150),
                            crash_of("e" + std::to_string(i), i * 150, harmful_prompt));
             }
         }},
        {"only another service answers",
         [](prompt_quarantine& q)
         {
             for (int i = 0; i < 6; ++i)
             {
                 q.on_crash(at(i * 150),
                            crash_of("e" + std::to_string(i), i * 150, harmful_prompt));
             }
             q.on_answer(at(900), "other", sound_prompt);
         }},
    };
    for (const row& item : rows)
    {
        CAPTURE(item.name);
        prompt_quarantine quarantine;
        item.play(quarantine);
        for (int ms = 1000; ms < 5000; ms += 100)
            quarantine.tick(at(ms));
        CHECK_FALSE(is_refused(quarantine, 5000, harmful_prompt));
        CHECK(quarantine.take_quarantined().empty());
    }
}

// Guards against the refusal of a caller all of whose recent requests were harmful.
TEST_CASE("of parts that occur together, the one shared by fewer requests is quarantined")
{
    prompt_quarantine quarantine;
    for (int i = 0; i < 4; ++i)
    {
        quarantine.on_crash(at(i * 300),
                            crash_of("e" + std::to_string(i), i * 300, harmful_prompt));
    }
    quarantine.on_answer(at(1000), service, {system_part});
    quarantine.tick(at(1300));
    CHECK(is_refused(quarantine, 1300, harmful_prompt));
    CHECK_FALSE(is_refused(quarantine, 1300, sound_prompt));
    // The crashes are explained, also if they are reported late.
    quarantine.on_crash(at(1400), crash_of("e3", 900, harmful_prompt));
    quarantine.tick(at(1500));
    CHECK_FALSE(is_refused(quarantine, 1500, sound_prompt));
}

// Guards against harmful requests that crash engines for each gateway anew.
TEST_CASE("crashes and answers that different gateways see count together")
{
    prompt_quarantine first;
    prompt_quarantine second;
    first.on_crash(at(0), crash_of("e1@1", 0, harmful_prompt));
    CHECK(second.merge(at(50), first.reports(at(50))));
    CHECK_FALSE(second.merge(at(60), first.reports(at(60))));
    second.on_crash(at(300), crash_of("e2@1", 300, harmful_prompt));
    first.on_answer(at(320), service, sound_prompt);
    first.on_crash(at(380), crash_of("e3@1", 380, harmful_prompt, 50));
    second.merge(at(400), first.reports(at(400)));
    second.on_answer(at(450), service, {system_part});
    second.tick(at(600));
    CHECK(is_refused(second, 600, harmful_prompt));
    CHECK_FALSE(is_refused(second, 600, sound_prompt));
    CHECK_FALSE(is_refused(first, 600, harmful_prompt));
    CHECK(first.merge(at(650), second.reports(at(650))));
    CHECK(is_refused(first, 650, harmful_prompt));
    // A gateway that starts later knows it with the first heartbeat.
    prompt_quarantine third;
    third.merge(at(5000), first.reports(at(5000)));
    CHECK(is_refused(third, 5000, harmful_prompt));
}

// Guards against a sound part that stays refused although another gateway has seen it
// answered.
TEST_CASE("a quarantine ends if an answer has begun elsewhere after the crashes")
{
    prompt_quarantine quarantine = with_quarantine();
    prompt_quarantine other;
    other.on_answer(at(900), service, harmful_prompt);
    other.merge(at(1100), quarantine.reports(at(1100)));
    CHECK_FALSE(is_refused(other, 1100, harmful_prompt));
    quarantine.merge(at(1200), other.reports(at(1200)));
    CHECK_FALSE(is_refused(quarantine, 1200, harmful_prompt));
    CHECK(quarantine.take_released().size() == 1);
}

// Guards against many harmful requests after each quarantine, and against a part that
// stays refused for good.
TEST_CASE("after a quarantine one gateway tries single requests")
{
    prompt_quarantine quarantine = with_quarantine();
    const int end = 1000 + static_cast<int>(first_quarantine.count()) + 1;
    CHECK(is_refused(quarantine, end - 100, harmful_prompt, true));
    CHECK(is_refused(quarantine, end, harmful_prompt, false));
    CHECK_FALSE(is_refused(quarantine, end, harmful_prompt, true));
    quarantine.on_sent(at(end), service, harmful_prompt);
    CHECK(is_refused(quarantine, end + 10, harmful_prompt, true));

    SUBCASE("a crash doubles the length")
    {
        quarantine.on_crash(at(end + 100), crash_of("e4@1", end + 100, harmful_prompt));
        CHECK(is_refused(quarantine, end + 59000, harmful_prompt, true));
        quarantine.tick(at(end + 59000));
        CHECK_FALSE(is_refused(quarantine, end + 61000, harmful_prompt, true));
    }
    SUBCASE("an answer ends it for all gateways")
    {
        prompt_quarantine other;
        other.merge(at(end), quarantine.reports(at(end)));
        CHECK(is_refused(other, end, harmful_prompt));
        quarantine.on_answer(at(end + 100), service, harmful_prompt);
        CHECK_FALSE(is_refused(quarantine, end + 100, harmful_prompt));
        CHECK(other.merge(at(end + 200), quarantine.reports(at(end + 200))));
        CHECK_FALSE(is_refused(other, end + 200, harmful_prompt));
        // Older reports of gateways that do not know yet change nothing.
        prompt_quarantine late = with_quarantine();
        quarantine.merge(at(end + 300), late.reports(at(end + 300)));
        CHECK_FALSE(is_refused(quarantine, end + 300, harmful_prompt));
    }
    SUBCASE("without requests it is forgotten")
    {
        quarantine.tick(at(end + static_cast<int>(first_quarantine.count())));
        CHECK(quarantine.reports(at(end)).empty());
    }
}

// Guards against memory and heartbeats that grow with the number of parts.
TEST_CASE("suspected parts and their reports are bounded")
{
    prompt_quarantine quarantine = with_quarantine();
    std::uint64_t part = 1000;
    for (int i = 0; i < 40; ++i)
    {
        backend_crash crash = crash_of("p" + std::to_string(i), 2000 + i, {});
        for (int call = 0; call < 64; ++call)
            crash.unanswered.push_back({"r", {++part, ++part}, at(1900)});
        quarantine.on_crash(at(2000 + i), crash);
    }
    const auto reports = quarantine.reports(at(3000));
    CHECK(reports.size() == protocol::max_suspect_parts);
    CHECK(std::any_of(reports.begin(), reports.end(),
                      [](const protocol::suspect_part& report)
                      { return report.part == harmful_part; }));
    CHECK(is_refused(quarantine, 3000, harmful_prompt));
    protocol::gateway_heartbeat heartbeat;
    heartbeat.suspects = reports;
    CHECK_NOTHROW(protocol::encode_gateway_heartbeat(heartbeat));
    quarantine.tick(at(400000));
    CHECK(quarantine.reports(at(400000)).empty());
}

namespace
{

/// Which part of the harmful requests of a fleet crashes engines.
enum class harm
{
    none,
    shared_part,
    /// The last one, while all others are those of sound requests.
    last_part,
};

/// Random fleet: gateways that exchange lossy reports, engines that crash by themselves
/// and under harmful requests.
class fleet
{
public:
    explicit fleet(std::uint32_t seed) : random(seed), gateways(2 + this->below(10)) {}

    void play(harm kind)
    {
        const int period_ms = 20 + static_cast<int>(this->below(400));
        for (int ms = 0; ms < 20000; ms += 10)
        {
            if (kind != harm::none && ms % period_ms < 10)
                this->send_harmful(ms, kind);
            for (std::size_t i = 0; i < 2; ++i)
                this->answer_sound(ms);
            if (this->below(150) == 0)
                this->crash_some(ms);
            if (ms % 100 == 0)
                this->exchange(ms);
        }
    }

    int harmful_sends = 0;
    int late_harmful_sends = 0;
    int refused_sound = 0;

private:
    std::size_t below(std::size_t limit)
    {
        return std::uniform_int_distribution<std::size_t>(0, limit - 1)(this->random);
    }

    /// A request without its last part, and the last part.
    struct request
    {
        parts shared;
        std::uint64_t own = 0;

        parts prompt() const
        {
            parts result = this->shared;
            result.push_back(this->own);
            return result;
        }
    };

    /// Returns a sound request: a new one, also of a session that has had some before, or
    /// one that lost a call and is sent again. Each caller has few requests.
    request sound_request()
    {
        if (!this->lost.empty() && this->below(2) == 0)
        {
            const auto chosen = this->lost.begin() + static_cast<std::ptrdiff_t>(
                                                         this->below(this->lost.size()));
            request result = *chosen;
            this->lost.erase(chosen);
            return result;
        }
        const std::uint64_t own =
            this->below(3) == 0 ? 1000 + this->below(50) : ++this->last_own;
        return {{system_part, 100 + this->below(60)}, own};
    }

    /// Adds a sound request that waits at a crashing engine.
    void add_waiting(backend_crash& crash, int ms)
    {
        const request sound = this->sound_request();
        crash.unanswered.push_back({"r", sound.shared, at(ms - 50), sound.own});
        this->lost.push_back(sound);
    }

    void send_harmful(int ms, harm kind)
    {
        prompt_quarantine& gateway = this->gateways[this->below(this->gateways.size())];
        request harmful{{system_part, 100 + this->below(60)}, harmful_part};
        if (kind == harm::shared_part)
        {
            harmful.shared.push_back(harmful_part);
            harmful.own = ++this->last_own;
        }
        if (is_refused(gateway, ms, harmful.prompt()))
            return;
        ++this->harmful_sends;
        if (this->harmful_sends == 5)
            this->fifth_crash_ms = ms;
        if (this->harmful_sends > 5 && ms > this->fifth_crash_ms + 3000)
            ++this->late_harmful_sends;
        backend_crash crash =
            crash_of("h" + std::to_string(++this->processes), ms, harmful.shared);
        crash.unanswered[0].own_part = harmful.own;
        // Sound requests wait at the same engine.
        for (std::size_t i = this->below(3); i > 0; --i)
            this->add_waiting(crash, ms);
        gateway.on_crash(at(ms), crash);
    }

    void answer_sound(int ms)
    {
        prompt_quarantine& gateway = this->gateways[this->below(this->gateways.size())];
        const parts prompt = this->sound_request().prompt();
        if (is_refused(gateway, ms, prompt))
            ++this->refused_sound;
        else
            gateway.on_answer(at(ms), service, prompt);
    }

    /// Some engines end at the same time for a reason of their own.
    void crash_some(int ms)
    {
        for (std::size_t engine = this->below(4); engine > 0; --engine)
        {
            const std::string process = "s" + std::to_string(++this->processes);
            for (std::size_t i = 1 + this->below(3); i > 0; --i)
            {
                prompt_quarantine& gateway =
                    this->gateways[this->below(this->gateways.size())];
                backend_crash crash{service, process, at(ms), {}, 0};
                this->add_waiting(crash, ms);
                gateway.on_crash(at(ms), crash);
            }
        }
    }

    void exchange(int ms)
    {
        for (prompt_quarantine& sender : this->gateways)
        {
            sender.tick(at(ms));
            const auto reports = sender.reports(at(ms));
            for (prompt_quarantine& receiver : this->gateways)
            {
                if (this->below(10) != 0)
                    receiver.merge(at(ms + static_cast<int>(this->below(20))), reports);
            }
        }
    }

    std::mt19937 random;
    std::vector<prompt_quarantine> gateways;
    /// Sound requests that lost a call and were not answered yet.
    std::vector<request> lost;
    std::uint64_t last_own = 1000000;
    int processes = 0;
    int fifth_crash_ms = 0;
};

} // namespace

// Guards against harmful requests that are never stopped, and sound ones that are, among
// crashes that have other causes.
TEST_CASE("random fleets stop harmful requests and only those")
{
    for (std::uint32_t seed = 1; seed <= 50; ++seed)
    {
        CAPTURE(seed);
        for (const harm kind : {harm::shared_part, harm::last_part})
        {
            CAPTURE(static_cast<int>(kind));
            fleet harmful(seed);
            harmful.play(kind);
            CHECK(harmful.late_harmful_sends <= 3);
            CHECK(harmful.refused_sound == 0);
        }
        fleet sound(seed);
        sound.play(harm::none);
        CHECK(sound.refused_sound == 0);
    }
}

// Guards against harmful requests that are too rare for one gateway to see three of their
// crashes, the first of which lost two engines.
TEST_CASE("crashes of a rare part that several gateways see are counted together")
{
    const parts prompt{system_part, harmful_part};
    prompt_quarantine first;
    prompt_quarantine second;
    first.on_crash(at(0), crash_of("e1@1", 0, prompt));
    first.on_crash(at(430), crash_of("e2@1", 430, prompt));
    second.on_crash(at(810), crash_of("e3@1", 810, prompt));
    for (prompt_quarantine* const gateway : {&first, &second})
        gateway->on_answer(at(815), service, {system_part});
    CHECK(second.merge(at(820), first.reports(at(820))));
    first.merge(at(820), second.reports(at(820)));
    for (prompt_quarantine* const gateway : {&first, &second})
    {
        gateway->tick(at(900));
        CHECK(is_refused(*gateway, 900, prompt));
        CHECK_FALSE(is_refused(*gateway, 900, {system_part}));
    }
}
