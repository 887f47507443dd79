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
    /// Bytes that are held of the incomplete event at the end of the stream. Empty if and
    /// only if there is none.
    const std::string& incomplete_event() const { return this->pending; }
    /// Size of the incomplete event with the part that was taken of it.
    std::size_t incomplete_size() const
    {
        return this->taken_bytes + this->pending.size() - this->known_bytes;
    }
    /// Returns what is held of the incomplete event and not yet returned. `feed()` then
    /// returns only the rest of the event.
    std::string take_incomplete_event();
    /// Whether a part of the incomplete event was taken.
    bool has_taken_part() const { return this->taken_bytes > 0; }
    /// Discards the incomplete event at the end of the stream.
    void discard_incomplete_event();
    /// Id of the last complete event that has a numeric id.
    std::optional<std::uint64_t> last_id() const { return this->id; }
    /// Number of complete events so far.
    std::uint64_t events() const { return this->count; }

private:
    /// Last numeric id in whole lines.
    static std::optional<std::uint64_t> find_id(std::string_view lines);
    void end_event(std::string_view event);

    std::string pending;
    /// Number of bytes at the start of `pending` that were taken.
    std::size_t known_bytes = 0;
    /// Bytes that were taken of the incomplete event, and the id in them.
    std::size_t taken_bytes = 0;
    std::optional<std::uint64_t> taken_id;
    std::optional<std::uint64_t> id;
    std::uint64_t count = 0;
};

} // namespace pomelorouter::protocol
