#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace pomelorouter::protocol
{

/// Cuts a stream of server-sent events at the ends of events, byte for byte, so that a
/// broken stream can go on with the next event of another one.
class event_cutter
{
public:
    /// Adds bytes of the stream and returns all that belongs to complete events.
    std::string feed(std::string_view bytes);
    /// The bytes after the last complete event.
    const std::string& rest() const { return this->pending; }
    /// Drops the bytes after the last complete event.
    void drop_rest() { this->pending.clear(); }
    /// Id of the last complete event that had one.
    std::optional<std::uint64_t> last_id() const { return this->id; }
    /// Complete events so far.
    std::uint64_t events() const { return this->count; }

private:
    void read_event(std::string_view event);

    std::string pending;
    std::optional<std::uint64_t> id;
    std::uint64_t count = 0;
};

} // namespace pomelorouter::protocol
