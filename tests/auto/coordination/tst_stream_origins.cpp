#include "coordination/stream_origins.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>

namespace
{

using namespace pomelorouter; // NOLINT(google-build-using-namespace): test file
using namespace coordination; // NOLINT(google-build-using-namespace): test file
using state::milliseconds;
using state::seconds;
using state::time_point;

const time_point start{seconds(100)};

} // namespace

TEST_CASE("origins of streams are kept for their time and then forgotten")
{
    stream_origins origins;
    origins.add(start, "a1", "v1");
    origins.add(start + seconds(20), "a2", "v2");
    origins.forget_old(start + stream_origins::ttl);
    CHECK(origins.find("a1") == "v1");
    CHECK(origins.find("a2") == "v2");
    CHECK_FALSE(origins.find("a3"));
    origins.add(start + seconds(40), "a3", "v1");
    origins.forget_old(start + 2 * stream_origins::ttl);
    CHECK_FALSE(origins.find("a1"));
    CHECK(origins.find("a3") == "v1");
    origins.forget_old(start + 10 * stream_origins::ttl);
    CHECK(origins.size() == 0);
}

TEST_CASE("clients cannot fill the memory with origins of streams")
{
    stream_origins origins;
    for (std::size_t i = 0; i < 3 * stream_origins::max_streams; ++i)
        origins.add(start, "a" + std::to_string(i), "v1");
    CHECK(origins.size() <= stream_origins::max_streams);
    CHECK(origins.find("a" + std::to_string(3 * stream_origins::max_streams - 1)));
}

TEST_CASE(
    "a version is the only one if no other was seen while the stream may have begun")
{
    constexpr milliseconds age{15000};
    struct row
    {
        const char* what;
        /// Version, first and last second in which it is seen.
        std::vector<std::tuple<std::string, int, int>> seen;
        std::optional<std::string> only;
        /// The same if the time before the first sight does not count.
        std::optional<std::string> only_seen;
    };
    const std::vector<row> rows{
        {"one version throughout", {{"v1", 0, 100}}, "v1", "v1"},
        {"two versions", {{"v1", 0, 100}, {"v2", 50, 100}}, std::nullopt, std::nullopt},
        {"the other was there a moment ago",
         {{"v1", 0, 100}, {"v2", 50, 90}},
         std::nullopt,
         std::nullopt},
        {"the other was there long ago", {{"v1", 0, 100}, {"v2", 0, 80}}, "v1", "v1"},
        {"not known for so long", {{"v1", 90, 100}}, std::nullopt, "v1"},
        {"no version any more", {{"v1", 0, 80}}, std::nullopt, std::nullopt},
        {"nothing is known", {}, std::nullopt, std::nullopt},
    };
    for (const row& item : rows)
    {
        CAPTURE(item.what);
        software_history history;
        for (int second = 0; second <= 100; ++second)
        {
            for (const auto& [software, first, last] : item.seen)
            {
                if (second >= first && second <= last)
                    history.on_seen(start + seconds(second), "models", software);
            }
        }
        CHECK(history.only_version(start + seconds(100), "models", age) == item.only);
        CHECK(history.only_seen(start + seconds(100), "models", age) == item.only_seen);
        CHECK_FALSE(history.only_version(start + seconds(100), "other", age));
    }
}

TEST_CASE("the gateways that keep an origin are found again, also after one has ended")
{
    std::vector<std::string> nodes;
    nodes.reserve(20);
    for (int i = 0; i < 20; ++i)
        nodes.push_back("gateway-" + std::to_string(i));
    std::map<std::string, int> kept;
    for (int i = 0; i < 2000; ++i)
    {
        const std::string attempt = "attempt-" + std::to_string(i);
        const auto keepers = origin_keepers(attempt, nodes, 3);
        REQUIRE(keepers.size() == 3);
        for (const std::string& node : keepers)
            ++kept[node];
        std::vector<std::string> left(nodes.rbegin(), nodes.rend());
        left.erase(std::find(left.begin(), left.end(), keepers[0]));
        const auto after = origin_keepers(attempt, left, 3);
        CHECK(after[0] == keepers[1]);
        CHECK(after[1] == keepers[2]);
    }
    // Spread evenly: 300 each.
    for (const auto& [node, count] : kept)
        CHECK(std::abs(count - 300) < 100);
    CHECK(origin_keepers("a", {}, 3).empty());
}
