#include "protocol/sse_event_splitter.hpp"

#include <algorithm>
#include <charconv>

namespace pomelorouter::protocol
{

namespace
{

/// Longer lines have no id.
constexpr std::size_t max_id_line_bytes = 64;

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
        this->end_event(std::string_view(this->pending).substr(complete, end - complete));
        complete = end;
    }
    if (complete == 0)
        return {};
    std::string result =
        this->pending.substr(this->known_bytes, complete - this->known_bytes);
    this->pending.erase(0, complete);
    this->known_bytes = 0;
    return result;
}

/// Keeps the start of the current line, which may be that of an id or the end of the
/// event.
std::string sse_event_splitter::take_incomplete_event()
{
    std::string result = this->pending.substr(this->known_bytes);
    const std::size_t newline = this->pending.rfind('\n');
    const bool has_newline = newline != std::string::npos;
    if (has_newline)
    {
        const auto found =
            find_id(std::string_view(this->pending).substr(0, newline + 1));
        if (found)
            this->taken_id = found;
        this->pending.erase(0, newline);
    }
    // Any text stands for a line without an id.
    if (this->pending.size() > max_id_line_bytes)
        this->pending = has_newline ? "\n:" : ":";
    this->known_bytes = this->pending.size();
    this->taken_bytes += result.size();
    return result;
}

void sse_event_splitter::discard_incomplete_event()
{
    this->pending.clear();
    this->known_bytes = 0;
    this->taken_bytes = 0;
    this->taken_id.reset();
}

void sse_event_splitter::end_event(std::string_view event)
{
    ++this->count;
    const auto found = find_id(event);
    if (found || this->taken_id)
        this->id = found ? found : this->taken_id;
    this->taken_bytes = 0;
    this->taken_id.reset();
}

std::optional<std::uint64_t> sse_event_splitter::find_id(std::string_view lines)
{
    constexpr std::string_view id_prefix = "id:";
    std::optional<std::uint64_t> result;
    std::size_t begin = 0;
    while (begin < lines.size())
    {
        const std::size_t end = std::min(lines.find('\n', begin), lines.size());
        std::string_view line = lines.substr(begin, end - begin);
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
            result = value;
    }
    return result;
}

} // namespace pomelorouter::protocol
