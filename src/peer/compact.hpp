// Encoding and decoding of Thrift structs with the compact protocol, with size limits for untrusted input.
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

/// Maximum number of elements of one container. A datagram of 1,400 bytes contains fewer; only frames with sealed key
/// tables contain more, and their decoder passes its own limit.
inline constexpr std::int32_t s_maximumContainerSize = 256;

/// Bytes that are not a valid encoding of the expected struct. Never thrown out of this module.
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

/// Decodes a struct that occupies all of `bytes`. A string length above the size of `bytes` is rejected.
/// @throws MalformedBytes
template<typename Wire>
Wire fromCompact(std::string_view bytes, std::int32_t maximumContainerSize = s_maximumContainerSize)
{
    using apache::thrift::transport::TMemoryBuffer;
    try {
        // With OBSERVE the buffer only reads the bytes, although its interface requires a non-const pointer.
        auto *data = reinterpret_cast<std::uint8_t *>(const_cast<char *>(bytes.data()));
        const auto buffer = std::make_shared<TMemoryBuffer>(data, static_cast<std::uint32_t>(bytes.size()), TMemoryBuffer::OBSERVE);
        apache::thrift::protocol::TCompactProtocol protocol(buffer, static_cast<std::int32_t>(bytes.size()), maximumContainerSize);
        Wire value;
        value.read(&protocol);
        if (buffer->available_read() != 0) {
            throw MalformedBytes("surplus bytes after the end of the struct");
        }
        return value;
    } catch (const apache::thrift::TException &error) {
        throw MalformedBytes(error.what());
    } catch (const std::bad_alloc &) {
        throw MalformedBytes("a size field is out of range");
    } catch (const std::length_error &) {
        throw MalformedBytes("a size field is out of range");
    }
}

} // namespace trefoilstile::peer
