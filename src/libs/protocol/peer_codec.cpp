#include "protocol/peer_codec.hpp"

#include "state/error.hpp"

#include <peer_types.h>
#include <thrift/Thrift.h>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <memory>
#include <utility>

namespace pomelorouter::protocol
{

using apache::thrift::protocol::TCompactProtocolT;
using apache::thrift::transport::TMemoryBuffer;
using state::error;
using state::error_code;

namespace
{

constexpr unsigned char frame_version = 1;
constexpr const char* place = "peer frame";
constexpr unsigned byte_bits = 8;
constexpr unsigned byte_mask = 0xffU;

using compact_protocol = TCompactProtocolT<TMemoryBuffer>;

std::uint64_t to_unsigned(std::int64_t value)
{
    return static_cast<std::uint64_t>(value);
}

std::int64_t to_signed(std::uint64_t value)
{
    return static_cast<std::int64_t>(value);
}

gen::MemberEntry to_wire(const member_entry& entry)
{
    gen::MemberEntry result;
    result.__set_node(entry.node);
    result.__set_incarnation(to_signed(entry.incarnation));
    result.__set_counter(to_signed(entry.counter));
    result.__set_ready(entry.ready);
    if (entry.leaving)
        result.__set_leaving(true);
    if (entry.suspect)
        result.__set_suspect(true);
    return result;
}

member_entry from_wire(const gen::MemberEntry& entry)
{
    return {entry.node,
            to_unsigned(entry.incarnation),
            to_unsigned(entry.counter),
            entry.ready,
            entry.__isset.leaving && entry.leaving,
            entry.__isset.suspect && entry.suspect};
}

void set_message(gen::PeerMessage& message, const heartbeat& value)
{
    gen::Heartbeat result;
    result.__set_origin(to_wire(value.origin));
    result.__set_settingsOffset(to_signed(value.settings_offset));
    result.__set_settingsVersion(to_signed(value.settings_version));
    result.__set_peersHeard(value.peers_heard);
    for (const member_entry& entry : value.others)
        result.others.push_back(to_wire(entry));
    result.__isset.leaving = !value.leaving.empty();
    for (const leaving_backend& backend : value.leaving)
    {
        gen::LeavingBackend item;
        item.__set_id(backend.id);
        item.__set_incarnation(to_signed(backend.incarnation));
        result.leaving.push_back(std::move(item));
    }
    result.__isset.demand = !value.demand.empty();
    for (const service_demand& demand : value.demand)
    {
        gen::ServiceDemand item;
        item.__set_serviceName(demand.service);
        item.__set_requests(demand.requests);
        result.demand.push_back(std::move(item));
    }
    if (!value.peer_address.empty())
        result.__set_peerAddress(value.peer_address);
    message.__set_heartbeat(result);
}

void set_message(gen::PeerMessage& message, const settings_pull& value)
{
    gen::SettingsPull result;
    result.__set_offset(to_signed(value.offset));
    message.__set_settingsPull(result);
}

void set_message(gen::PeerMessage& message, const settings_state& value)
{
    gen::SettingsState result;
    result.__set_snapshot(value.snapshot);
    message.__set_settingsState(result);
}

heartbeat from_wire(const gen::Heartbeat& value)
{
    heartbeat result;
    result.origin = from_wire(value.origin);
    result.settings_offset = to_unsigned(value.settingsOffset);
    result.settings_version = to_unsigned(value.settingsVersion);
    result.peers_heard = value.peersHeard;
    for (const gen::MemberEntry& entry : value.others)
        result.others.push_back(from_wire(entry));
    for (const gen::LeavingBackend& item : value.leaving)
        result.leaving.push_back({item.id, to_unsigned(item.incarnation)});
    for (const gen::ServiceDemand& item : value.demand)
        result.demand.push_back({item.serviceName, item.requests});
    result.peer_address = value.peerAddress;
    return result;
}

peer_message from_wire(const gen::PeerMessage& message)
{
    if (message.__isset.heartbeat)
        return from_wire(message.heartbeat);
    if (message.__isset.settingsPull)
        return settings_pull{to_unsigned(message.settingsPull.offset)};
    if (message.__isset.settingsState)
        return settings_state{message.settingsState.snapshot};
    throw error(error_code::malformed_frame, place, "unknown message type");
}

void check_size(std::size_t bytes)
{
    if (bytes > peer_frame_max_bytes)
    {
        throw error(error_code::too_large, place,
                    "the body exceeds " + std::to_string(peer_frame_max_bytes) +
                        " bytes");
    }
}

} // namespace

std::string encode_peer_frame(const peer_envelope& envelope)
{
    gen::Envelope wire;
    wire.__set_sender(envelope.sender);
    std::visit([&](const auto& item) { set_message(wire.message, item); },
               envelope.message);
    const auto buffer = std::make_shared<TMemoryBuffer>();
    compact_protocol protocol(buffer);
    wire.write(&protocol);
    const std::string body = buffer->getBufferAsString();
    check_size(body.size());
    const std::size_t length = body.size() + 1;
    std::string frame;
    frame.reserve(peer_frame_header_bytes + body.size());
    for (unsigned shift = 3 * byte_bits;; shift -= byte_bits)
    {
        frame.push_back(static_cast<char>((length >> shift) & byte_mask));
        if (shift == 0)
            break;
    }
    frame.push_back(static_cast<char>(frame_version));
    frame += body;
    return frame;
}

std::size_t decode_peer_header(const peer_frame_header& header)
{
    std::size_t length = 0;
    for (std::size_t i = 0; i + 1 < header.size(); ++i)
        length = (length << byte_bits) | static_cast<unsigned char>(header[i]);
    if (length == 0)
    {
        throw error(error_code::malformed_frame, place,
                    "the length is 0; expected a length that includes the version byte");
    }
    check_size(length - 1);
    const auto version = static_cast<unsigned char>(header.back());
    if (version != frame_version)
    {
        throw error(error_code::unsupported_version, place,
                    "expected version " + std::to_string(frame_version) + ", found " +
                        std::to_string(version));
    }
    return length - 1;
}

peer_envelope decode_peer_body(std::string_view body)
{
    try
    {
        // TMemoryBuffer takes a non-const pointer, although it only reads the data in
        // OBSERVE mode.
        std::string copy(body);
        const auto buffer = std::make_shared<TMemoryBuffer>(
            reinterpret_cast<std::uint8_t*>(copy.data()),
            static_cast<std::uint32_t>(copy.size()), TMemoryBuffer::OBSERVE);
        // Limits the sizes that a malformed frame can make the reader allocate.
        compact_protocol protocol(buffer, static_cast<std::int32_t>(peer_frame_max_bytes),
                                  static_cast<std::int32_t>(copy.size()));
        gen::Envelope wire;
        wire.read(&protocol);
        if (buffer->available_read() != 0)
            throw error(error_code::malformed_frame, place,
                        "trailing bytes after the message");
        return {wire.sender, from_wire(wire.message)};
    }
    catch (const apache::thrift::TException& failure)
    {
        throw error(error_code::malformed_frame, place, failure.what());
    }
}

} // namespace pomelorouter::protocol
