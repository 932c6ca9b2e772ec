// Tests of payload decoding against bytes from a faulty or compromised holder of the key, which must not end the process,
// use unbounded memory or pass values out of range to the decision modules.

#include "payload_codec.hpp"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include "generators.hpp"
#include "translate.hpp"

using namespace trefoilstile;
using namespace trefoilstile::peer;

namespace
{

/// True if the bytes decode, false if they are rejected; any other exception fails the test.
bool decodes(std::int32_t kind, std::string_view bytes)
{
    try {
        (void)decodePayload(kind, bytes);
        return true;
    } catch (const MalformedBytes &) {
        return false;
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(Payloads)

// A payload truncated at any byte must be rejected, not decoded with the missing fields left at their defaults.
RC_BOOST_PROP(truncatedPayloadsAreRejected, ())
{
    for (const Payload &payload : testing::onePayloadOfEachKind()) {
        const std::string bytes = encodePayload(payload);
        for (std::size_t length = 0; length < bytes.size(); ++length) {
            RC_ASSERT(!decodes(kindOf(payload), std::string_view(bytes).substr(0, length)));
        }
    }
}

// Bytes corrupted at any position, decoded as any kind, must not cause an exception other than `MalformedBytes`.
RC_BOOST_PROP(corruptPayloadsAreDecodedOrRejected, (const std::vector<std::pair<std::uint16_t, char>> &changes))
{
    for (const Payload &payload : testing::onePayloadOfEachKind()) {
        std::string bytes = encodePayload(payload);
        for (const auto &[position, value] : changes) {
            bytes[position % bytes.size()] = value;
        }
        for (std::int32_t kind = 0; kind <= static_cast<std::int32_t>(std::variant_size_v<Payload>) + 1; ++kind) {
            (void)decodes(kind, bytes);
        }
    }
}

// A size field larger than the input must not cause an allocation of that size.
BOOST_AUTO_TEST_CASE(sizeFieldsAreLimited)
{
    // GossipBody with a list of structs with a size field of 2^31 - 1 elements, and a string with as many bytes.
    const std::int32_t gossip = kindOf(membership::Gossip{});
    BOOST_TEST(!decodes(gossip, std::string("\x1c\x39\xfc\xff\xff\xff\xff\x07", 8)));
    BOOST_TEST(!decodes(gossip, std::string("\x1c\x1c\x28\xff\xff\xff\xff\x07", 8)));
    membership::GossipBody body;
    body.sender.info.emplace();
    body.updates.resize(257);
    BOOST_TEST(!decodes(gossip, encodePayload(membership::Gossip{body})));
}

// Values that decode but are out of range must not reach the decision modules.
BOOST_AUTO_TEST_CASE(valuesOutOfRangeAreRejected)
{
    membership::Gossip gossip;
    const std::int32_t kind = kindOf(gossip);
    BOOST_TEST(!decodes(kind, encodePayload(gossip)), "the member info of the sender is required");
    gossip.body.sender.info.emplace();
    BOOST_TEST(decodes(kind, encodePayload(gossip)));
    auto unknownState = gossip;
    unknownState.body.sender.status.state = membership::MemberState(3);
    BOOST_TEST(!decodes(kind, encodePayload(unknownState)));
    auto longName = gossip;
    longName.body.sender.info->name = std::string(65, 'n');
    BOOST_TEST(!decodes(kind, encodePayload(longName)));
    auto negative = gossip;
    negative.body.announcement.drains = {1ULL << 63U};
    BOOST_TEST(!decodes(kind, encodePayload(negative)));
    BOOST_TEST(!decodes(kindOf(HandoffPart{}), encodePayload(HandoffPart{{1}, {1, 2, 2, 0, ""}})));
}

// Guards against peers without eras that cannot read positions, and against an era that costs more than two bytes in each position.
BOOST_AUTO_TEST_CASE(eraIsAnOptionalFieldOfTwoBytes)
{
    const auto request = [](std::uint64_t era) {
        return FeedRequest{"servers", {era, 900}, false, {}, true};
    };
    const std::string without = encodePayload(request(0));
    BOOST_TEST(encodePayload(request(7)).size() == without.size() + 2);
    const Payload decoded = decodePayload(kindOf(request(0)), without);
    BOOST_TEST((std::get<FeedRequest>(decoded) == request(0)));
    BOOST_TEST((std::get<FeedRequest>(decodePayload(kindOf(request(7)), encodePayload(request(7)))).after == feed::Position{7, 900}));
}

BOOST_AUTO_TEST_SUITE_END()
