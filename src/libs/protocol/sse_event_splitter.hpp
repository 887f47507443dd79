#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace pomelorouter::protocol
{

/// Splits a stream of server-sent events at event boundaries without changing its bytes,
/// so that another stream can continue an interrupted one with the next event.
class sse_event_splitter
{
public:
    /// Adds bytes of the stream and returns the events that are complete now, unchanged.
    std::string feed(std::string_view bytes);
    /// Bytes of the incomplete event at the end of the stream.
    const std::string& incomplete_event() const { return this->pending; }
    /// Discards the incomplete event at the end of the stream.
    void discard_incomplete_event() { this->pending.clear(); }
    /// Id of the last complete event that has a numeric id.
    std::optional<std::uint64_t> last_id() const { return this->id; }
    /// Number of complete events so far.
    std::uint64_t events() const { return this->count; }

private:
    void read_event(std::string_view event);

    std::string pending;
    std::optional<std::uint64_t> id;
    std::uint64_t count = 0;
};

} // namespace pomelorouter::protocol
