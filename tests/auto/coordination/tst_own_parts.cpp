#include "coordination/prompt_quarantine.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

// Crashes of which the last part of a prompt is suspected: it belongs to a request or to
// its session, and no other request has it.

namespace
{

using namespace pomelorouter; // NOLINT(google-build-using-namespace): test file
using coordination::backend_crash;
using coordination::prompt_quarantine;
using state::milliseconds;
using state::time_point;

using parts = std::vector<std::uint64_t>;

constexpr const char* service = "models";
constexpr std::uint64_t system_part = 0xa;
constexpr std::uint64_t caller_part = 0xb;
constexpr std::uint64_t other_caller_part = 0xc;
constexpr std::uint64_t harmful_part = 0xbad;
constexpr std::uint64_t own_part = 0x101;
constexpr std::uint64_t other_own_part = 0x102;

const parts shared{system_part, caller_part};
const parts other_shared{system_part, other_caller_part};
const parts with_harmful{system_part, caller_part, harmful_part};

time_point at(int ms)
{
    return time_point(std::chrono::hours(1)) + milliseconds(ms);
}

struct waiting_call
{
    parts shared;
    std::uint64_t own;
};

/// Records that an engine's process crashed under calls, which were sent 100 ms before.
void crash(prompt_quarantine& target, int ms, const std::vector<waiting_call>& calls)
{
    backend_crash crash{service, "e" + std::to_string(ms), at(ms), {}, 0};
    for (const waiting_call& call : calls)
    {
        crash.unanswered.push_back(
            {"request", call.shared, at(ms) - milliseconds(100), call.own});
    }
    target.on_crash(at(ms), crash);
}

void answer(prompt_quarantine& target, int ms, parts prompt, std::uint64_t own)
{
    prompt.push_back(own);
    target.on_answer(at(ms), service, prompt);
}

bool is_refused(const prompt_quarantine& target, int ms, parts prompt, std::uint64_t own)
{
    prompt.push_back(own);
    return target.find(at(ms), service, prompt, false).has_value();
}

} // namespace

// Guards against harmful requests that are never stopped because all their other parts
// are sound, and against sound requests that are refused since engines crashed under
// them.
TEST_CASE("a last part is quarantined only if no shared part explains its crashes")
{
    struct row
    {
        std::string name;
        void (*play)(prompt_quarantine&);
        /// The parts that are quarantined, in the order of their ids.
        parts quarantined;
    };
    const std::vector<row> rows{
        {"the other parts are answered",
         [](prompt_quarantine& q)
         {
             for (const int ms : {0, 300, 600})
             {
                 crash(q, ms, {{shared, own_part}});
                 answer(q, ms + 50, shared, 0x900U + static_cast<unsigned>(ms));
             }
         },
         {own_part}},
        {"the other parts are answered after the crashes",
         [](prompt_quarantine& q)
         {
             for (const int ms : {0, 300, 600})
                 crash(q, ms, {{shared, own_part}});
             answer(q, 700, shared, 0x901);
         },
         {own_part}},
        {"a prompt of one part",
         [](prompt_quarantine& q)
         {
             for (const int ms : {0, 300, 600})
                 crash(q, ms, {{{}, own_part}});
             answer(q, 700, {}, 0x901);
         },
         {own_part}},
        {"two crashes",
         [](prompt_quarantine& q)
         {
             for (const int ms : {0, 300})
                 crash(q, ms, {{shared, own_part}});
             answer(q, 700, shared, 0x901);
         },
         {}},
        {"answered between the crashes",
         [](prompt_quarantine& q)
         {
             for (const int ms : {0, 300, 600})
             {
                 crash(q, ms, {{shared, own_part}});
                 answer(q, ms + 50, shared, own_part);
             }
         },
         {}},
        {"a request with a harmful part is repeated",
         [](prompt_quarantine& q)
         {
             for (const int ms : {0, 300, 600})
                 crash(q, ms, {{with_harmful, own_part}});
             answer(q, 700, shared, 0x901);
         },
         {harmful_part}},
        {"a sound request waited at engines that a harmful part crashed",
         [](prompt_quarantine& q)
         {
             for (const int ms : {0, 300, 600})
             {
                 crash(q, ms,
                       {{other_shared, other_own_part},
                        {with_harmful, 0x200U + static_cast<unsigned>(ms)}});
             }
             answer(q, 700, shared, 0x901);
             answer(q, 700, other_shared, 0x902);
         },
         {harmful_part}},
        {"a sound request waited at two of the engines that a last part crashed",
         [](prompt_quarantine& q)
         {
             crash(q, 0, {{shared, own_part}});
             for (const int ms : {300, 600})
                 crash(q, ms, {{other_shared, other_own_part}, {shared, own_part}});
             answer(q, 700, shared, 0x901);
             answer(q, 700, other_shared, 0x902);
         },
         {own_part}},
        {"two requests waited at all engines, and nothing tells them apart",
         [](prompt_quarantine& q)
         {
             for (const int ms : {0, 300, 600})
                 crash(q, ms, {{other_shared, other_own_part}, {shared, own_part}});
             answer(q, 700, shared, 0x901);
             answer(q, 700, other_shared, 0x902);
         },
         {}},
        {"a further crash tells them apart",
         [](prompt_quarantine& q)
         {
             for (const int ms : {0, 300, 600})
                 crash(q, ms, {{other_shared, other_own_part}, {shared, own_part}});
             crash(q, 800, {{shared, own_part}});
             answer(q, 900, shared, 0x901);
             answer(q, 900, other_shared, 0x902);
         },
         {own_part}},
        {"one of them is answered",
         [](prompt_quarantine& q)
         {
             for (const int ms : {0, 300, 600})
                 crash(q, ms, {{other_shared, other_own_part}, {shared, own_part}});
             answer(q, 700, shared, 0x901);
             answer(q, 700, other_shared, other_own_part);
         },
         {own_part}},
        {"a part that is the last one of some prompts only",
         [](prompt_quarantine& q)
         {
             crash(q, 0, {{shared, harmful_part}});
             crash(q, 300, {{with_harmful, own_part}});
             crash(q, 600, {{with_harmful, own_part}});
             answer(q, 700, shared, 0x901);
         },
         {harmful_part}},
        {"engines that end at the same moment",
         [](prompt_quarantine& q)
         {
             for (const int ms : {0, 1, 2, 3})
                 crash(q, ms, {{shared, own_part}});
             answer(q, 700, shared, 0x901);
         },
         {}},
    };
    for (const row& item : rows)
    {
        CAPTURE(item.name);
        prompt_quarantine quarantine;
        item.play(quarantine);
        for (int ms = 1000; ms < 3000; ms += 100)
            quarantine.tick(at(ms));
        parts found;
        for (const coordination::quarantined_part& part : quarantine.quarantined())
            found.push_back(part.key.part);
        CHECK(found == item.quarantined);
        CHECK_FALSE(is_refused(quarantine, 3000, shared, 0x999));
        CHECK_FALSE(is_refused(quarantine, 3000, other_shared, other_own_part));
    }
}

// Guards against crashes of one last part that several gateways see and none counts.
TEST_CASE("crashes of a last part that several gateways see are counted together")
{
    prompt_quarantine first;
    prompt_quarantine second;
    crash(first, 0, {{shared, own_part}});
    crash(second, 300, {{shared, own_part}});
    answer(second, 350, shared, 0x901);
    crash(first, 600, {{shared, own_part}});
    answer(first, 650, shared, 0x902);
    for (const int ms : {700, 800})
    {
        first.merge(at(ms), second.reports(at(ms)));
        second.merge(at(ms), first.reports(at(ms)));
    }
    for (prompt_quarantine* const gateway : {&first, &second})
    {
        gateway->tick(at(900));
        CHECK(is_refused(*gateway, 900, shared, own_part));
        CHECK_FALSE(is_refused(*gateway, 900, shared, other_own_part));
    }
}

// Guards against last parts, of which each request has another one, that displace the
// part which crashes engines from the bounded state and from the reports.
TEST_CASE("last parts of many requests do not displace other suspects")
{
    struct row
    {
        std::string name;
        parts shared;
        std::uint64_t own;
        std::uint64_t harmful;
    };
    const std::vector<row> rows{
        {"harmful last part", shared, own_part, own_part},
        {"harmful shared part", with_harmful, own_part, harmful_part},
    };
    for (const row& item : rows)
    {
        CAPTURE(item.name);
        prompt_quarantine first;
        prompt_quarantine second;
        std::uint64_t next = 0x1000;
        for (int round = 0; round < 4; ++round)
        {
            const int ms = round * 300;
            std::vector<waiting_call> calls(100, {shared, 0});
            for (waiting_call& call : calls)
                call.own = --next;
            calls.push_back({item.shared, item.own});
            // Each gateway sees some of the crashes only.
            crash(round % 2 == 0 ? first : second, ms, calls);
            answer(first, ms + 50, shared, 0x9000U + static_cast<unsigned>(ms));
            first.merge(at(ms + 60), second.reports(at(ms + 60)));
            second.merge(at(ms + 60), first.reports(at(ms + 60)));
        }
        first.tick(at(1000));
        const auto found = first.quarantined();
        REQUIRE(found.size() == 1);
        CHECK(found[0].key.part == item.harmful);
        CHECK(first.reports(at(1000)).size() <= protocol::max_suspect_parts);
    }
}

// Guards against memory that grows with the number of requests.
TEST_CASE("the parts of answered requests are forgotten")
{
    coordination::recent_answers answers;
    for (std::uint64_t part = 0; part < 10 * coordination::recent_answers::max_parts;
         ++part)
    {
        answers.add(at(0), {service, part});
        REQUIRE(answers.find({service, part}) == at(0));
    }
    CHECK(answers.size() <= 2 * coordination::recent_answers::max_parts);
    // Those of the last two seconds are known, as far as there is room.
    answers.add(at(1900), {service, 1});
    answers.forget_old(at(2100));
    answers.forget_old(at(3900));
    CHECK(answers.find({service, 1}) == at(1900));
    answers.forget_old(at(4200));
    answers.forget_old(at(6300));
    CHECK(answers.size() == 0);
}
