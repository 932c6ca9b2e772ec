// Envelope encoding, checks of received bytes, and MAC computation.

#include "trefoilstile/peer/envelope_codec.hpp"

#include <algorithm>
#include <utility>

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include "payload_codec.hpp"
#include "translate.hpp"

namespace trefoilstile::peer
{

namespace
{

constexpr std::size_t s_macBytes = 32;
constexpr std::size_t s_minimumKeyBytes = 16;

/// Header of field 8, the MAC, after field 7: field delta 1 and type binary, then the length of the MAC.
constexpr std::string_view s_macHeader("\x18\x20", 2);

/// Size of the MAC and the stop byte of the envelope.
constexpr std::size_t s_tailBytes = s_macBytes + 1;

using Mac = std::array<unsigned char, s_macBytes>;

std::size_t limitOf(Channel channel)
{
    return channel == Channel::Datagram ? s_maximumDatagramBytes : s_maximumFrameBytes;
}

Mac computeMac(std::string_view key, std::string_view bytes)
{
    Mac mac{};
    unsigned length = 0;
    const auto *result =
        HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()), reinterpret_cast<const unsigned char *>(bytes.data()), bytes.size(), mac.data(), &length);
    if (result == nullptr || length != s_macBytes) {
        throw CodecError("HMAC-SHA256 is not available");
    }
    return mac;
}

/// True if the bytes end like an envelope: header of the MAC field, MAC, stop byte.
bool hasEnvelopeTail(std::string_view bytes)
{
    return bytes.size() > s_tailBytes + s_macHeader.size() && bytes.back() == '\0'
        && bytes.substr(bytes.size() - s_tailBytes - s_macHeader.size(), s_macHeader.size()) == s_macHeader;
}

/// Verifies the MAC. It covers all bytes before the MAC value, so the check does not decode untrusted bytes.
void checkKey(std::string_view key)
{
    if (key.size() < s_minimumKeyBytes) {
        throw CodecError("the MAC key must have at least 16 bytes");
    }
}

bool hasValidMac(std::string_view key, std::string_view bytes)
{
    const std::string_view covered = bytes.substr(0, bytes.size() - s_tailBytes);
    const Mac expected = computeMac(key, covered);
    return CRYPTO_memcmp(expected.data(), bytes.data() + covered.size(), s_macBytes) == 0;
}

} // namespace

std::string_view toString(DropReason reason)
{
    constexpr std::array<std::string_view, s_dropReasonCount> names{"too_large",
        "malformed",
        "wrong_mac",
        "unknown_version",
        "foreign_environment",
        "own_message",
        "unknown_kind",
        "wrong_channel",
        "replayed",
        "malformed_payload"};
    return names[static_cast<std::size_t>(reason)];
}

EnvelopeCodec::EnvelopeCodec(CodecSettings settings)
    : m_settings(std::move(settings))
{
    checkKey(m_settings.key);
    if (m_settings.environment.size() > s_maximumNameBytes || m_settings.name.size() > s_maximumNameBytes) {
        throw CodecError("environment and name must have at most 64 bytes");
    }
}

void EnvelopeCodec::setKey(std::string key)
{
    checkKey(key);
    m_settings.key = std::move(key);
}

std::string EnvelopeCodec::encode(const Payload &payload)
{
    const Channel channel = channelOf(payload);
    std::uint64_t &sequence = m_sequences[static_cast<std::size_t>(channel)];
    wire::Envelope envelope;
    envelope.version = s_protocolVersion;
    envelope.environment = m_settings.environment;
    envelope.sender = m_settings.name;
    envelope.incarnation = bitsToWire(m_settings.incarnation);
    envelope.sequence = bitsToWire(sequence + 1);
    envelope.kind = kindOf(payload);
    envelope.payload = encodePayload(payload);
    envelope.mac.assign(s_macBytes, '\0');
    std::string bytes = toCompact(envelope);
    if (bytes.size() > limitOf(channel)) {
        throw CodecError("the envelope of a payload of kind " + std::string(kindName(payload)) + " has " + std::to_string(bytes.size()) + " bytes, at most "
            + std::to_string(limitOf(channel)) + " are allowed");
    }
    const std::size_t covered = bytes.size() - s_tailBytes;
    const Mac mac = computeMac(m_settings.key, std::string_view(bytes).substr(0, covered));
    std::copy(mac.begin(), mac.end(), bytes.begin() + static_cast<std::ptrdiff_t>(covered));
    ++sequence;
    return bytes;
}

DecodeResult EnvelopeCodec::decode(std::string_view bytes, Channel channel)
{
    DecodeResult result = checkAndDecode(bytes, channel);
    if (const auto *reason = std::get_if<DropReason>(&result)) {
        ++m_dropped[static_cast<std::size_t>(*reason)];
    } else {
        ++m_accepted;
    }
    return result;
}

DecodeResult EnvelopeCodec::checkAndDecode(std::string_view bytes, Channel channel)
{
    if (bytes.size() > limitOf(channel)) {
        return DropReason::TooLarge;
    }
    if (!hasEnvelopeTail(bytes)) {
        return DropReason::Malformed;
    }
    if (!hasValidMac(m_settings.key, bytes)) {
        return DropReason::WrongMac;
    }
    wire::Envelope envelope;
    try {
        envelope = fromCompact<wire::Envelope>(bytes);
    } catch (const MalformedBytes &) {
        return DropReason::Malformed;
    }
    if (envelope.version != s_protocolVersion) {
        return DropReason::UnknownVersion;
    }
    if (envelope.environment != m_settings.environment) {
        return DropReason::ForeignEnvironment;
    }
    if (envelope.sender.size() > s_maximumNameBytes) {
        return DropReason::Malformed;
    }
    Received received;
    received.sender = incarnationFromWire(envelope.incarnation);
    received.senderName = envelope.sender;
    received.sequence = bitsFromWire(envelope.sequence);
    if (received.sender == m_settings.incarnation) {
        return DropReason::OwnMessage;
    }
    const auto kindChannel = channelOfKind(envelope.kind);
    if (!kindChannel) {
        return DropReason::UnknownKind;
    }
    if (*kindChannel != channel) {
        return DropReason::WrongChannel;
    }
    const auto window = m_windows.accept(received.sender, channel, received.sequence);
    if (window == ReplayWindows::Result::Replayed) {
        return DropReason::Replayed;
    }
    received.firstContact = window == ReplayWindows::Result::AcceptedFirst;
    try {
        received.payload = decodePayload(envelope.kind, envelope.payload);
    } catch (const MalformedBytes &) {
        return DropReason::MalformedPayload;
    }
    return received;
}

} // namespace trefoilstile::peer
