#include "gateway_fixture.hpp"

#include <doctest/doctest.h>

#include <optional>
#include <string>
#include <vector>

// Limits of the requests per second that backend servers name in their responses.

namespace
{

using namespace pomelorouter; // NOLINT(google-build-using-namespace): test file

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
