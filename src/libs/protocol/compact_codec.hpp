#pragma once

#include "state/error.hpp"

#include <thrift/Thrift.h>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <memory>
#include <string>
#include <string_view>

namespace pomelorouter::protocol::internal
{

inline constexpr char compact_version = 1;

/// Encodes a version byte and the message in Thrift's compact protocol.
template <typename Message>
std::string encode_compact(const Message& message)
{
    using apache::thrift::transport::TMemoryBuffer;
    const auto buffer = std::make_shared<TMemoryBuffer>();
    apache::thrift::protocol::TCompactProtocolT<TMemoryBuffer> writer(buffer);
    message.write(&writer);
    return compact_version + buffer->getBufferAsString();
}

/// Decodes the output of `encode_compact()`. Throws `state::error` (`malformed_frame`,
/// `unsupported_version`) with `place` as its place.
template <typename Message>
Message decode_compact(std::string_view bytes, const char* place, std::size_t max_bytes)
{
    using apache::thrift::transport::TMemoryBuffer;
    using state::error;
    using state::error_code;
    if (bytes.empty())
        throw error(error_code::malformed_frame, place, "the version byte is missing");
    if (bytes.front() != compact_version)
        throw error(error_code::unsupported_version, place,
                    "unknown format version; expected version 1");
    bytes.remove_prefix(1);
    try
    {
        // TMemoryBuffer takes a non-const pointer, although it only reads the data in
        // OBSERVE mode.
        std::string copy(bytes);
        const auto buffer = std::make_shared<TMemoryBuffer>(
            reinterpret_cast<std::uint8_t*>(copy.data()),
            static_cast<std::uint32_t>(copy.size()), TMemoryBuffer::OBSERVE);
        // Limits the sizes that a malformed message can make the reader allocate.
        apache::thrift::protocol::TCompactProtocolT<TMemoryBuffer> reader(
            buffer, static_cast<std::int32_t>(max_bytes),
            static_cast<std::int32_t>(copy.size()));
        Message message;
        message.read(&reader);
        return message;
    }
    catch (const apache::thrift::TException& failure)
    {
        throw error(error_code::malformed_frame, place, failure.what());
    }
}

} // namespace pomelorouter::protocol::internal
