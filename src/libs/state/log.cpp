#include "state/log.hpp"

#include <boost/core/null_deleter.hpp>
#include <boost/log/attributes/clock.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/log/support/date_time.hpp>
#include <boost/smart_ptr/make_shared.hpp>

#include <array>
#include <iostream>

namespace pomelorouter::state
{

namespace
{

namespace blog = boost::log;
using logger_type = blog::sources::severity_logger_mt<log_level>;

logger_type& logger()
{
    static logger_type instance;
    return instance;
}

std::string_view level_name(log_level level)
{
    constexpr std::array<std::string_view, 4> names{"debug", "info", "warning", "error"};
    return names.at(static_cast<std::size_t>(level));
}

bool needs_quotes(std::string_view value)
{
    return value.empty() || value.find_first_of(" =\"\n\t\\") != std::string_view::npos;
}

void append_value(std::string& line, std::string_view value)
{
    if (!needs_quotes(value))
    {
        line += value;
        return;
    }
    line += '"';
    for (const char c : value)
    {
        if (c == '\n')
        {
            line += "\\n";
            continue;
        }
        if (c == '"' || c == '\\')
            line += '\\';
        line += c;
    }
    line += '"';
}

} // namespace

void init_logging(const std::string& process, log_level minimum)
{
    using backend_type = blog::sinks::text_ostream_backend;
    auto backend = boost::make_shared<backend_type>();
    backend->add_stream(
        boost::shared_ptr<std::ostream>(&std::clog, boost::null_deleter()));
    backend->auto_flush(true);
    auto sink = boost::make_shared<blog::sinks::synchronous_sink<backend_type>>(backend);
    sink->set_formatter(blog::expressions::stream
                        << "ts="
                        << blog::expressions::format_date_time<boost::posix_time::ptime>(
                               "TimeStamp", "%Y-%m-%dT%H:%M:%S.%fZ")
                        << " process=" << process << " " << blog::expressions::smessage);
    blog::core::get()->remove_all_sinks();
    blog::core::get()->add_global_attribute("TimeStamp", blog::attributes::utc_clock());
    blog::core::get()->set_filter(blog::expressions::attr<log_level>("Severity") >=
                                  minimum);
    blog::core::get()->add_sink(sink);
}

log_event::log_event(log_level event_level, std::string_view event) : level(event_level)
{
    this->line = "level=";
    this->line += level_name(event_level);
    this->line += " event=";
    this->line += event;
}

log_event::~log_event()
{
    BOOST_LOG_SEV(logger(), this->level) << this->line;
}

log_event& log_event::field(std::string_view key, std::string_view value)
{
    this->line += ' ';
    this->line += key;
    this->line += '=';
    append_value(this->line, value);
    return *this;
}

log_event& log_event::field(std::string_view key, const char* value)
{
    return this->field(key, std::string_view(value));
}

log_event& log_event::field(std::string_view key, std::int64_t value)
{
    return this->field(key, std::string_view(std::to_string(value)));
}

log_event& log_event::field(std::string_view key, std::uint64_t value)
{
    return this->field(key, std::string_view(std::to_string(value)));
}

log_event& log_event::field(std::string_view key, int value)
{
    return this->field(key, static_cast<std::int64_t>(value));
}

log_event& log_event::field(std::string_view key, bool value)
{
    return this->field(key, std::string_view(value ? "true" : "false"));
}

log_event& log_event::field(std::string_view key, double value)
{
    return this->field(key, std::string_view(std::to_string(value)));
}

} // namespace pomelorouter::state
