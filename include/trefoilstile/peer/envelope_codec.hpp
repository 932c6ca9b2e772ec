// Encodes payloads into authenticated envelopes, and decodes received bytes into payloads or a drop reason.
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

/// Maximum size of a datagram. It is below the usual MTU of 1,500 bytes and leaves room for IPv6 and UDP headers and a
/// tunnel, so that datagrams are not fragmented.
inline constexpr std::size_t s_maximumDatagramBytes = 1'400;

/// Maximum size of a frame; limits the memory that one connection can occupy at the receiver.
inline constexpr std::size_t s_maximumFrameBytes = 1U << 20U;

/// Protocol version; messages of other versions are dropped.
inline constexpr std::int16_t s_protocolVersion = 1;

/// Maximum length of the environment and of the sender name, in bytes.
inline constexpr std::size_t s_maximumNameBytes = 64;

/// Thrown for a payload that exceeds the limit of its channel, for invalid settings, and if HMAC-SHA256 is not available.
class CodecError : public base::Error
{
public:
    using base::Error::Error;
};

/// Reason why received bytes were dropped.
enum class DropReason : std::uint8_t {
    TooLarge, ///< exceeds the size limit of the channel
    Malformed, ///< not an envelope
    WrongMac, ///< not authenticated with the key of this fleet
    UnknownVersion,
    ForeignEnvironment,
    OwnMessage, ///< sent by this incarnation
    UnknownKind,
    WrongChannel, ///< the kind is not sent on this channel
    Replayed, ///< sequence number already seen, or older than the replay window
    MalformedPayload, ///< authenticated, but not decodable or with values out of range
};

inline constexpr std::size_t s_dropReasonCount = 10;

/// Name of the reason for logs and metrics.
std::string_view toString(DropReason reason);

/// An accepted message.
struct Received {
    base::IncarnationId sender;
    std::string senderName;
    std::uint64_t sequence{};
    bool firstContact = false; ///< no message of this incarnation is on record; see `ReplayWindows`
    Payload payload;
};

/// Result of decoding received bytes.
using DecodeResult = std::variant<Received, DropReason>;

/// Key and identity that a codec uses for its messages and for checking received ones.
struct CodecSettings {
    std::string key; ///< HMAC key, at least 16 bytes
    std::string environment;
    std::string name; ///< of this instance
    base::IncarnationId incarnation;
};

/// Codec of one process; not thread-safe.
class EnvelopeCodec
{
public:
    /// @throws CodecError if the key is too short or the environment or name is too long
    explicit EnvelopeCodec(CodecSettings settings);

    /// Uses another key from now on.
    /// @throws CodecError if the key is too short
    void setKey(std::string key);

    /// Encodes the payload in an envelope with the next sequence number of its channel.
    /// @throws CodecError if the envelope exceeds the size limit of the channel
    std::string encode(const Payload &payload);

    /// Checks and decodes the bytes of one datagram or frame. Invalid bytes never cause an exception.
    DecodeResult decode(std::string_view bytes, Channel channel);

    /// Number of messages dropped for the reason.
    std::uint64_t dropped(DropReason reason) const
    {
        return m_dropped[static_cast<std::size_t>(reason)];
    }

    /// Number of messages accepted.
    std::uint64_t accepted() const
    {
        return m_accepted;
    }

private:
    DecodeResult checkAndDecode(std::string_view bytes, Channel channel);

    CodecSettings m_settings;
    std::array<std::uint64_t, s_channelCount> m_sequences{}; ///< last sequence number used per channel; the first one sent is 1
    ReplayWindows m_windows;
    std::array<std::uint64_t, s_dropReasonCount> m_dropped{};
    std::uint64_t m_accepted{};
};

} // namespace trefoilstile::peer
