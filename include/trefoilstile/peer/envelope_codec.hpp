// Encodes payloads into authenticated envelopes, and decodes received bytes into payloads or the reason to drop them.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <variant>

#include "trefoilstile/base/error.hpp"
#include "trefoilstile/base/ids.hpp"
#include "trefoilstile/peer/payload.hpp"
#include "trefoilstile/peer/replay_window.hpp"

namespace trefoilstile::peer
{

/// Below the usual MTU of 1,500 bytes with room for IPv6 and UDP headers and a tunnel, so that datagrams are not
/// fragmented.
inline constexpr std::size_t s_maximumDatagramBytes = 1'400;

/// Bounds the memory that one connection can make the receiver hold.
inline constexpr std::size_t s_maximumFrameBytes = 1U << 20U;

/// Version of the protocol; messages of other versions are dropped.
inline constexpr std::int16_t s_protocolVersion = 1;

/// Longest environment and sender name in bytes.
inline constexpr std::size_t s_maximumNameBytes = 64;

/// Thrown by `encode` for a payload that does not fit its channel, and for unusable settings.
class CodecError : public base::Error
{
public:
    using base::Error::Error;
};

/// Why received bytes were dropped.
enum class DropReason : std::uint8_t {
    TooLarge, ///< over the limit of the channel
    Malformed, ///< not an envelope
    WrongMac, ///< authentic bytes come only from holders of the key
    UnknownVersion,
    ForeignEnvironment,
    OwnMessage, ///< sent by this very incarnation
    UnknownKind,
    WrongChannel, ///< a kind that does not travel on this channel
    Replayed, ///< sequence number seen before, or too old to tell
    MalformedPayload, ///< authentic, but not decodable or out of bounds
};

inline constexpr std::size_t s_dropReasonCount = 10;

/// Name of the reason for logs and metrics.
std::string_view toString(DropReason reason);

/// An accepted message.
struct Received {
    base::IncarnationId sender;
    std::string senderName;
    std::uint64_t sequence{};
    bool firstContact = false; ///< nothing of this incarnation is remembered; see `ReplayWindows`
    Payload payload;
};

/// What became of received bytes.
using DecodeResult = std::variant<Received, DropReason>;

/// What tells a codec's own messages from those of others.
struct CodecSettings {
    std::string key; ///< HMAC key, at least 16 bytes
    std::string environment;
    std::string name; ///< of this instance
    base::IncarnationId incarnation;
};

/// Codec of one process. Not safe for use by several threads.
class EnvelopeCodec
{
public:
    /// @throws CodecError for a short key or a name over its limit.
    explicit EnvelopeCodec(CodecSettings settings);

    /// Bytes of the envelope, with the next sequence number of the payload's channel.
    /// @throws CodecError if the payload does not fit the channel.
    std::string encode(const Payload &payload);

    /// Checks and decodes the bytes of one datagram or frame. Never throws for what the bytes hold.
    DecodeResult decode(std::string_view bytes, Channel channel);

    /// Messages dropped so far for a reason.
    std::uint64_t dropped(DropReason reason) const
    {
        return m_dropped[static_cast<std::size_t>(reason)];
    }

    /// Messages accepted so far.
    std::uint64_t accepted() const
    {
        return m_accepted;
    }

private:
    DecodeResult examine(std::string_view bytes, Channel channel);

    CodecSettings m_settings;
    std::array<std::uint64_t, s_channelCount> m_sequences{}; ///< last number used; the first one sent is 1
    ReplayWindows m_windows;
    std::array<std::uint64_t, s_dropReasonCount> m_dropped{};
    std::uint64_t m_accepted{};
};

} // namespace trefoilstile::peer
