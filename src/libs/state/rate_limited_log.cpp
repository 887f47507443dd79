#include "state/rate_limited_log.hpp"

#include <boost/log/attributes/value_extraction.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/unlocked_frontend.hpp>
#include <boost/smart_ptr/make_shared.hpp>

#include <algorithm>
#include <array>
#include <cerrno>
#include <chrono>
#include <ctime>
#include <map>
#include <poll.h>
#include <unistd.h>

namespace pomelorouter::state
{

namespace
{

namespace blog = boost::log;

constexpr std::int64_t us_per_s = 1'000'000;
/// Lines of each event in a second that do not count towards the limit, so that frequent
/// events do not displace rare ones.
constexpr std::int64_t reserved_lines_per_event = 5;

std::string_view event_name(std::string_view line)
{
    constexpr std::string_view key = "event=";
    const std::size_t begin = line.find(key);
    if (begin == std::string_view::npos)
        return "other";
    const std::size_t from = begin + key.size();
    return line.substr(from, line.find(' ', from) - from);
}

std::string timestamp(std::int64_t wall_us)
{
    const std::time_t whole_s = wall_us / us_per_s;
    std::tm parts{};
    gmtime_r(&whole_s, &parts);
    std::array<char, 40> text{};
    const std::size_t length =
        std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%S", &parts);
    std::array<char, 16> fraction{};
    std::snprintf(fraction.data(), fraction.size(), ".%06dZ",
                  static_cast<int>(wall_us % us_per_s));
    return std::string(text.data(), length) + fraction.data();
}

/// Writes each line to standard output if it can be written without blocking. A gateway
/// logs on one thread only, so no lock is needed.
class line_backend
    : public blog::sinks::basic_sink_backend<blog::sinks::concurrent_feeding>
{
public:
    line_backend(std::string process_name, std::int64_t max_lines_per_s)
        : process(std::move(process_name)), lines_per_s(max_lines_per_s)
    {
    }

    void consume(const blog::record_view& record)
    {
        const auto level = record["Severity"].extract<log_level>();
        const auto message = record["Message"].extract<std::string>();
        if (!level || !message)
            return;
        const std::int64_t wall_us =
            std::chrono::duration_cast<std::chrono::microseconds>(
                std::chrono::system_clock::now().time_since_epoch())
                .count();
        this->begin_second(wall_us);
        const bool urgent = *level >= log_level::warning;
        std::int64_t& used = urgent ? this->urgent_lines : this->lines;
        const std::string event(event_name(*message));
        const bool is_reserved = this->event_lines[event] <
                                 std::min(reserved_lines_per_event, this->lines_per_s);
        if ((!is_reserved && used >= this->lines_per_s) ||
            !this->write(wall_us, *message))
        {
            ++this->dropped[event];
            return;
        }
        ++this->event_lines[event];
        used += is_reserved ? 0 : 1;
    }

    void set_lines_per_s(std::int64_t max_lines_per_s)
    {
        this->lines_per_s = max_lines_per_s;
    }

private:
    void begin_second(std::int64_t wall_us)
    {
        if (wall_us / us_per_s == this->second)
            return;
        this->second = wall_us / us_per_s;
        this->lines = 0;
        this->urgent_lines = 0;
        this->event_lines.clear();
        if (this->dropped.empty())
            return;
        std::string line = "level=warning event=log_lines_left_out";
        for (const auto& [event, count] : this->dropped)
            line += " " + event + "=" + std::to_string(count);
        if (this->write(wall_us, line))
            this->dropped.clear();
    }

    bool write(std::int64_t wall_us, const std::string& message)
    {
        pollfd descriptor{STDOUT_FILENO, POLLOUT, 0};
        if (::poll(&descriptor, 1, 0) <= 0 || (descriptor.revents & POLLOUT) == 0)
            return false;
        const std::string line = "ts=" + timestamp(wall_us) +
                                 " process=" + this->process + " " + message + "\n";
        return ::write(STDOUT_FILENO, line.data(), line.size()) ==
               static_cast<ssize_t>(line.size());
    }

    std::string process;
    std::int64_t lines_per_s;
    std::int64_t second = 0;
    std::int64_t lines = 0;
    std::int64_t urgent_lines = 0;
    /// Lines written in this second, by event.
    std::map<std::string, std::int64_t> event_lines;
    std::map<std::string, std::int64_t> dropped;
};

/// The backend that the process logs to; null before `init_rate_limited_logging()`.
boost::shared_ptr<line_backend>& present_backend()
{
    static boost::shared_ptr<line_backend> backend;
    return backend;
}

} // namespace

void init_rate_limited_logging(const std::string& process, log_level minimum,
                               std::int64_t lines_per_s)
{
    present_backend() = boost::make_shared<line_backend>(process, lines_per_s);
    auto sink =
        boost::make_shared<blog::sinks::unlocked_sink<line_backend>>(present_backend());
    blog::core::get()->remove_all_sinks();
    blog::core::get()->add_sink(sink);
    set_log_limits(minimum, lines_per_s);
}

void set_log_limits(log_level minimum, std::int64_t lines_per_s)
{
    if (!present_backend())
        return;
    present_backend()->set_lines_per_s(lines_per_s);
    blog::core::get()->set_filter(blog::expressions::attr<log_level>("Severity") >=
                                  minimum);
}

} // namespace pomelorouter::state
