#include "protocol/sse_event_splitter.hpp"

#include <algorithm>
#include <charconv>

namespace pomelorouter::protocol
{

namespace
{

/// Returns the end of the event that begins at `from`, after its terminating blank line,
/// or `npos` if the event is incomplete.
std::size_t event_end(std::string_view text, std::size_t from)
{
    const std::size_t lf_end = text.find("\n\n", from);
    const std::size_t crlf_end = text.find("\n\r\n", from);
    const std::size_t first = std::min(lf_end, crlf_end);
    if (first == std::string_view::npos)
        return first;
    return first + (first == lf_end ? 2 : 3);
}

} // namespace

std::string sse_event_splitter::feed(std::string_view bytes)
{
    this->pending += bytes;
    std::size_t complete = 0;
    for (;;)
    {
        const std::size_t end = event_end(this->pending, complete);
        if (end == std::string::npos)
            break;
        this->read_event(
            std::string_view(this->pending).substr(complete, end - complete));
        complete = end;
    }
    std::string result = this->pending.substr(0, complete);
    this->pending.erase(0, complete);
    return result;
}

void sse_event_splitter::read_event(std::string_view event)
{
    ++this->count;
    constexpr std::string_view id_prefix = "id:";
    std::size_t begin = 0;
    while (begin < event.size())
    {
        const std::size_t end = std::min(event.find('\n', begin), event.size());
        std::string_view line = event.substr(begin, end - begin);
        begin = end + 1;
        if (line.substr(0, id_prefix.size()) != id_prefix)
            continue;
        line.remove_prefix(id_prefix.size());
        if (!line.empty() && line.front() == ' ')
            line.remove_prefix(1);
        std::uint64_t value = 0;
        const auto parsed =
            std::from_chars(line.data(), line.data() + line.size(), value);
        if (parsed.ec == std::errc())
            this->id = value;
    }
}

} // namespace pomelorouter::protocol
