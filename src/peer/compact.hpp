// Thrift structs to and from bytes in compact encoding, with bounds for untrusted input.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include "trefoilstile/base/error.hpp"

namespace trefoilstile::peer
{

/// Most elements of one container. A datagram of 1,400 bytes holds fewer; of the frames only those of
/// sealed key tables hold more, and give a limit of their own.
inline constexpr std::int32_t s_maximumContainerSize = 256;

/// Bytes that are no valid encoding of the expected struct. Stays within the module.
class MalformedBytes : public base::Error
{
public:
    using base::Error::Error;
};

template<typename Wire>
std::string toCompact(const Wire &value)
{
    const auto buffer = std::make_shared<apache::thrift::transport::TMemoryBuffer>();
    apache::thrift::protocol::TCompactProtocol protocol(buffer);
    value.write(&protocol);
    return buffer->getBufferAsString();
}

/// Decodes a struct that takes up all of `bytes`. No string can claim more than `bytes` holds.
/// @throws MalformedBytes
template<typename Wire>
Wire fromCompact(std::string_view bytes, std::int32_t maximumContainerSize = s_maximumContainerSize)
{
    using apache::thrift::transport::TMemoryBuffer;
    try {
        // The buffer only observes the bytes, though its interface takes them as writable.
        auto *data = reinterpret_cast<std::uint8_t *>(const_cast<char *>(bytes.data()));
        const auto buffer = std::make_shared<TMemoryBuffer>(data, static_cast<std::uint32_t>(bytes.size()), TMemoryBuffer::OBSERVE);
        apache::thrift::protocol::TCompactProtocol protocol(buffer, static_cast<std::int32_t>(bytes.size()), maximumContainerSize);
        Wire value;
        value.read(&protocol);
        if (buffer->available_read() != 0) {
            throw MalformedBytes("bytes after the end of the struct");
        }
        return value;
    } catch (const apache::thrift::TException &error) {
        throw MalformedBytes(error.what());
    } catch (const std::bad_alloc &) {
        throw MalformedBytes("sizes out of bounds");
    } catch (const std::length_error &) {
        throw MalformedBytes("sizes out of bounds");
    }
}

} // namespace trefoilstile::peer
