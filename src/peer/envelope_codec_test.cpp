// Tests of the envelope codec and the replay windows: forged, corrupt, foreign or replayed messages are dropped, and hostile
// bytes do not end the process.

#include "trefoilstile/peer/envelope_codec.hpp"

#include <boost/test/unit_test.hpp>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <rapidcheck/boost_test.h>

#include "generators.hpp"
#include "payload_codec.hpp"
#include "translate.hpp"

using namespace trefoilstile;
using namespace trefoilstile::peer;

namespace
{

const std::string s_key = "a key of the trial environment";

EnvelopeCodec makeCodec(std::uint64_t incarnation, const std::string &environment = "trial", const std::string &key = s_key)
{
    return EnvelopeCodec({key, environment, "node", {incarnation}});
}

bool isDropped(const DecodeResult &result, DropReason reason)
{
    const auto *dropped = std::get_if<DropReason>(&result);
    return dropped != nullptr && *dropped == reason;
}

wire::Envelope makeEnvelope()
{
    wire::Envelope envelope;
    envelope.version = s_protocolVersion;
    envelope.environment = "trial";
    envelope.sender = "node";
    envelope.incarnation = 1;
    envelope.sequence = 1;
    envelope.kind = kindOf(LoanAck{5});
    envelope.payload = encodePayload(LoanAck{5});
    envelope.mac.assign(32, '\0');
    return envelope;
}

/// Replaces the MAC of an encoded envelope by the valid one.
std::string withValidMac(std::string bytes)
{
    unsigned length = 0;
    auto *mac = reinterpret_cast<unsigned char *>(bytes.data()) + bytes.size() - 33;
    const auto *begin = reinterpret_cast<const unsigned char *>(bytes.data());
    HMAC(EVP_sha256(), s_key.data(), static_cast<int>(s_key.size()), begin, bytes.size() - 33, mac, &length);
    return bytes;
}

} // namespace

BOOST_AUTO_TEST_SUITE(Envelopes)

// Guards against a field that one direction of the translation omits or mixes up.
RC_BOOST_PROP(everyKindRoundTrips, ())
{
    EnvelopeCodec sender = makeCodec(1);
    EnvelopeCodec receiver = makeCodec(2);
    for (const Payload &payload : testing::onePayloadOfEachKind()) {
        const DecodeResult result = receiver.decode(sender.encode(payload), channelOf(payload));
        const auto *received = std::get_if<Received>(&result);
        RC_ASSERT(received != nullptr);
        RC_ASSERT(received->payload == payload);
        RC_ASSERT(received->sender == base::IncarnationId{1});
        RC_ASSERT(received->senderName == "node");
    }
}

// Guards against an invalid message that is accepted, or is counted under a reason that misleads operators.
BOOST_AUTO_TEST_CASE(everyDropReasonIsReturnedAndCounted)
{
    EnvelopeCodec receiver = makeCodec(2);
    const auto expect = [&receiver](const std::string &bytes, Channel channel, DropReason reason) {
        const std::uint64_t before = receiver.dropped(reason);
        BOOST_TEST(isDropped(receiver.decode(bytes, channel), reason), toString(reason));
        BOOST_TEST(receiver.dropped(reason) == before + 1);
    };
    const auto altered = [](auto change) {
        wire::Envelope envelope = makeEnvelope();
        change(envelope);
        return withValidMac(toCompact(envelope));
    };
    const std::string good = withValidMac(toCompact(makeEnvelope()));
    expect(std::string(1'401, 'x'), Channel::Datagram, DropReason::TooLarge);
    expect(std::string((1U << 20U) + 1, 'x'), Channel::Frame, DropReason::TooLarge);
    expect("", Channel::Datagram, DropReason::Malformed);
    expect(makeCodec(1, "trial", "a key of some other fleet").encode(LoanAck{5}), Channel::Datagram, DropReason::WrongMac);
    const auto setVersion = [](wire::Envelope &envelope) {
        envelope.version = 2;
    };
    expect(altered(setVersion), Channel::Datagram, DropReason::UnknownVersion);
    expect(makeCodec(1, "production").encode(LoanAck{5}), Channel::Datagram, DropReason::ForeignEnvironment);
    expect(makeCodec(2).encode(LoanAck{5}), Channel::Datagram, DropReason::OwnMessage);
    const auto setKind = [](wire::Envelope &envelope) {
        envelope.kind = static_cast<std::int32_t>(std::variant_size_v<Payload>) + 1;
    };
    expect(altered(setKind), Channel::Datagram, DropReason::UnknownKind);
    expect(good, Channel::Frame, DropReason::WrongChannel);
    const auto setPayload = [](wire::Envelope &envelope) {
        envelope.payload = "\x16";
    };
    expect(altered(setPayload), Channel::Datagram, DropReason::MalformedPayload);
    // The dropped message before this one had the same sequence number, so this one counts as replayed.
    expect(good, Channel::Datagram, DropReason::Replayed);
    BOOST_TEST(receiver.accepted() == 0U);
}

// Guards against reads beyond the end of a truncated message.
RC_BOOST_PROP(truncatedMessagesAreDropped, ())
{
    EnvelopeCodec sender = makeCodec(1);
    EnvelopeCodec receiver = makeCodec(2);
    const std::string bytes = sender.encode(membership::Probe{1, {2}, testing::gossipBody()});
    for (std::size_t length = 0; length < bytes.size(); ++length) {
        RC_ASSERT(std::holds_alternative<DropReason>(receiver.decode(std::string_view(bytes).substr(0, length), Channel::Datagram)));
    }
    RC_ASSERT(receiver.accepted() == 0U);
}

// Guards against bytes that the MAC does not cover: a change of any byte, or an added one, must be detected.
RC_BOOST_PROP(corruptMessagesAreDropped, (std::uint8_t mask))
{
    RC_PRE(mask != 0);
    EnvelopeCodec receiver = makeCodec(2);
    std::string bytes = makeCodec(1).encode(membership::Gossip{testing::gossipBody()});
    const auto position = *rc::gen::inRange<std::size_t>(0, bytes.size());
    bytes[position] = static_cast<char>(bytes[position] ^ mask);
    RC_ASSERT(std::holds_alternative<DropReason>(receiver.decode(bytes, Channel::Datagram)));
    RC_ASSERT(std::holds_alternative<DropReason>(receiver.decode(bytes + "x", Channel::Datagram)));
}

// Hostile bytes, with and without the ending of an envelope, must not be accepted or cause an exception.
RC_BOOST_PROP(randomBytesAreDropped, (const std::string &bytes))
{
    EnvelopeCodec receiver = makeCodec(2);
    RC_ASSERT(std::holds_alternative<DropReason>(receiver.decode(bytes, Channel::Datagram)));
    RC_ASSERT(std::holds_alternative<DropReason>(receiver.decode(bytes + std::string("\x18\x20") + std::string(33, '\0'), Channel::Frame)));
}

// A datagram over the limit would be fragmented or dropped by receivers; a short key would weaken the MAC.
BOOST_AUTO_TEST_CASE(oversizedPayloadsAndShortKeysAreRejected)
{
    EnvelopeCodec sender = makeCodec(1);
    membership::Gossip gossip;
    gossip.body.sender.info = membership::MemberInfo{std::string(1'400, 'n'), "", "", "", ""};
    BOOST_CHECK_THROW(sender.encode(gossip), CodecError);
    BOOST_CHECK_THROW(EnvelopeCodec({"short", "trial", "node", {1}}), CodecError);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(Replays)

// Guards against a replayed number that is accepted after the window has moved, and a delayed one that is dropped.
RC_BOOST_PROP(eachNumberIsAcceptedAtMostOnce, ())
{
    const auto numbers = *rc::gen::container<std::vector<std::uint64_t>>(rc::gen::inRange<std::uint64_t>(0, 3'000));
    ReplayWindow window;
    std::set<std::uint64_t> accepted;
    std::uint64_t highest = 0;
    for (const std::uint64_t number : numbers) {
        const bool inWindow = number > 0 && (number > highest || highest - number < ReplayWindow::s_size);
        RC_ASSERT(window.accept(number) == (inWindow && !accepted.contains(number)));
        if (inWindow) {
            accepted.insert(number);
            highest = std::max(highest, number);
        }
    }
}

// Guards against an off-by-one error at the lower end of the window, by which a number could be accepted twice.
BOOST_AUTO_TEST_CASE(windowHoldsExactly1024Numbers)
{
    ReplayWindow window;
    BOOST_TEST(window.accept(2'000));
    BOOST_TEST(window.accept(977));
    BOOST_TEST(!window.accept(977));
    BOOST_TEST(!window.accept(976));
}

// Guards against memory that grows with each new incarnation, and against an evicted sender that is not marked as first
// contact.
BOOST_AUTO_TEST_CASE(sendersAreLimitedAndEvictedOnesAreMarked)
{
    ReplayWindows windows;
    for (std::uint64_t id = 1; id <= ReplayWindows::s_maximumSenders + 1; ++id) {
        BOOST_TEST((windows.accept({id}, Channel::Datagram, 1) == ReplayWindows::Result::AcceptedFirst));
    }
    BOOST_TEST(windows.size() == ReplayWindows::s_maximumSenders);
    BOOST_TEST((windows.accept({2}, Channel::Datagram, 1) == ReplayWindows::Result::Replayed));
    BOOST_TEST((windows.accept({2}, Channel::Frame, 1) == ReplayWindows::Result::Accepted));
    BOOST_TEST((windows.accept({1}, Channel::Datagram, 1) == ReplayWindows::Result::AcceptedFirst));
}

BOOST_AUTO_TEST_SUITE_END()
