#include "state/rate_limited_log.hpp"

#include <boost/log/core.hpp>
#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <string>
#include <unistd.h>

namespace
{

using namespace pomelorouter; // NOLINT(google-build-using-namespace): test file

/// Redirects standard output to a pipe and reads what was written.
class output_capture
{
public:
    output_capture() : saved_output(::dup(STDOUT_FILENO))
    {
        REQUIRE(::pipe(this->ends.data()) == 0);
        ::dup2(this->ends[1], STDOUT_FILENO);
    }

    ~output_capture()
    {
        ::dup2(this->saved_output, STDOUT_FILENO);
        ::close(this->saved_output);
        ::close(this->ends[0]);
        ::close(this->ends[1]);
        boost::log::core::get()->remove_all_sinks();
        boost::log::core::get()->reset_filter();
    }

    output_capture(const output_capture&) = delete;
    output_capture& operator=(const output_capture&) = delete;

    std::string text()
    {
        std::array<char, 60000> buffer{};
        const auto size = ::read(this->ends[0], buffer.data(), buffer.size());
        return {buffer.data(), static_cast<std::size_t>(std::max<ssize_t>(size, 0))};
    }

private:
    int saved_output;
    std::array<int, 2> ends{};
};

} // namespace

// Guards against a log that lacks the line on a new configuration because lines on orders
// had used up the limit of the second.
TEST_CASE("frequent log events do not displace a rare one")
{
    std::string text;
    {
        output_capture output;
        state::init_rate_limited_logging("gateway-1", state::log_level::info, 20);
        for (int number = 0; number < 100; ++number)
            state::log_event(state::log_level::info, "order").field("number", number);
        state::log_event(state::log_level::info, "config_applied").field("version", 8);
        text = output.text();
    }
    std::size_t order_lines = 0;
    for (std::size_t at = text.find("event=order"); at != std::string::npos;
         at = text.find("event=order", at + 1))
        ++order_lines;
    // The lines may fall into two seconds.
    CHECK(order_lines <= 2 * (20 + 5));
    CHECK(text.find("event=config_applied version=8") != std::string::npos);
}

// Guards against limits that are kept from the start of the process.
TEST_CASE("changed limits of the log take effect")
{
    std::string text;
    {
        output_capture output;
        state::init_rate_limited_logging("gateway-1", state::log_level::info, 20);
        state::log_event(state::log_level::debug, "before").field("line", 1);
        state::set_log_limits(state::log_level::debug, 0);
        state::log_event(state::log_level::debug, "without_room").field("line", 2);
        state::set_log_limits(state::log_level::debug, 20);
        state::log_event(state::log_level::debug, "after").field("line", 3);
        text = output.text();
    }
    CHECK(text.find("event=before") == std::string::npos);
    CHECK(text.find("event=without_room") == std::string::npos);
    CHECK(text.find("event=after") != std::string::npos);
}
