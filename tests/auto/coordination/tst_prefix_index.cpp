#include "coordination/prefix_index.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <string>

using namespace pomelorouter::coordination; // NOLINT(google-build-using-namespace)

// Guards against matches across models and against missed partial matches.
TEST_CASE("the longest known prefix of the same model is found")
{
    prefix_index index;
    const std::string first(1024, 'a');
    index.record(prefix_hashes("s/m", first), 7);
    const prefix_match whole = index.find(prefix_hashes("s/m", first));
    REQUIRE(whole.engines.size() == 1);
    CHECK(whole.engines[0] == 7);
    CHECK(whole.covered == 1.0);
    const prefix_match half =
        index.find(prefix_hashes("s/m", first + std::string(1024, 'b')));
    CHECK(half.covered == 0.5);
    CHECK(index.find(prefix_hashes("s/other", first)).engines.empty());
    CHECK(index.find(prefix_hashes("s/m", "short")).engines.empty());
}

// Guards against growth with the number of prompts, and against dropping the engine that
// served a prefix last.
TEST_CASE("the index has a fixed size and keeps the most recent engines")
{
    prefix_index index(16);
    const prefix_hashes prompt("s/m", std::string(256, 'z'));
    for (engine_slot engine = 0; engine < 10; ++engine)
        index.record(prompt, engine);
    const auto match = index.find(prompt);
    REQUIRE(match.engines.size() == 3);
    CHECK(match.engines[0] == 9);
    CHECK(match.engines[2] == 7);
    index.record(prompt, 8);
    const auto again = index.find(prompt);
    CHECK(again.engines[0] == 8);
    CHECK(again.engines[1] == 9);
    int known = 0;
    for (int i = 0; i < 1000; ++i)
    {
        std::string text(256, 'y');
        text += std::to_string(i);
        index.record(prefix_hashes("s/m" + std::to_string(i), text), 1);
    }
    for (int i = 0; i < 1000; ++i)
        known +=
            index.find(prefix_hashes("s/m" + std::to_string(i), std::string(256, 'y')))
                    .engines.empty()
                ? 0
                : 1;
    CHECK(known <= 64);
    CHECK(known > 32);
}
