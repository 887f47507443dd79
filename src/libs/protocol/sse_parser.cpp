#include "protocol/sse_parser.hpp"

#include "state/error.hpp"

namespace pomelorouter::protocol
{

namespace
{

constexpr std::size_t max_event_bytes = 1024 * 1024;
constexpr std::string_view separator = "\n\n";
constexpr std::string_view data_prefix = "data:";

/// Joins the data lines of one event with newlines; skips other fields and comments.
std::string event_data(std::string_view event)
{
    std::string data;
    while (!event.empty())
    {
        const std::size_t end = event.find('\n');
        std::string_view line = event.substr(0, end);
        event =
            end == std::string_view::npos ? std::string_view{} : event.substr(end + 1);
        if (!line.starts_with(data_prefix))
            continue;
        line.remove_prefix(data_prefix.size());
        if (line.starts_with(' '))
            line.remove_prefix(1);
        if (!data.empty())
            data += '\n';
        data += line;
    }
    return data;
}

} // namespace

void sse_parser::feed(std::string_view bytes)
{
    if (this->position > 0)
    {
        this->buffer.erase(0, this->position);
        this->position = 0;
    }
    if (this->buffer.size() + bytes.size() > max_event_bytes)
    {
        throw state::error(state::error_code::too_large, "event stream",
                           "the buffered events exceed " +
                               std::to_string(max_event_bytes) + " bytes");
    }
    this->buffer += bytes;
}

std::optional<std::string> sse_parser::next()
{
    const std::size_t end = this->buffer.find(separator, this->position);
    if (end == std::string::npos)
        return std::nullopt;
    const std::string_view event =
        std::string_view(this->buffer).substr(this->position, end - this->position);
    this->position = end + separator.size();
    return event_data(event);
}

} // namespace pomelorouter::protocol
