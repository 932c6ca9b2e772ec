// Tests of the encoding of sealed key tables.

#include "trefoilstile/peer/sealed_keys.hpp"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

using namespace trefoilstile;

namespace
{

idempotency::SealedPart samplePart()
{
    idempotency::SealedPart part;
    part.incarnation = {0xfedcba9876543210ULL};
    part.part = 1;
    part.parts = 3;
    part.oldestRunnableTick = 7;
    const auto response = std::make_shared<const idempotency::StoredResponse>(idempotency::StoredResponse{201, "text/plain", std::string("a\0b", 3), false});
    part.entries.push_back({"k1", idempotency::KeyState::Completed, {0x8000000000000001ULL}, response});
    part.entries.push_back({"k2", idempotency::KeyState::Unknown, {2}, nullptr});
    return part;
}

} // namespace

BOOST_AUTO_TEST_SUITE(SealedKeys)

// Guards against stored outcomes that are lost or changed when a stopping instance hands them to a peer.
BOOST_AUTO_TEST_CASE(roundTrips)
{
    const idempotency::SealedPart part = samplePart();
    const auto decoded = peer::decodeSealedPart(peer::encodeSealedPart(part));
    BOOST_TEST_REQUIRE(decoded.has_value());
    BOOST_TEST((decoded->incarnation == part.incarnation));
    BOOST_TEST(decoded->part == 1U);
    BOOST_TEST(decoded->parts == 3U);
    BOOST_TEST(decoded->oldestRunnableTick == 7U);
    BOOST_TEST_REQUIRE(decoded->entries.size() == 2U);
    BOOST_TEST((decoded->entries[0].state == idempotency::KeyState::Completed));
    BOOST_TEST((decoded->entries[0].fingerprint == part.entries[0].fingerprint));
    BOOST_TEST((*decoded->entries[0].response == *part.entries[0].response));
    BOOST_TEST((decoded->entries[1].state == idempotency::KeyState::Unknown));
}

// A part truncated at any byte must be rejected, since the missing keys could run again.
BOOST_AUTO_TEST_CASE(truncatedBytesAreRejected)
{
    const std::string bytes = peer::encodeSealedPart(samplePart());
    for (std::size_t length = 0; length < bytes.size(); ++length) {
        BOOST_TEST(!peer::decodeSealedPart(std::string_view(bytes).substr(0, length)).has_value());
    }
}

// Corrupt bytes from a peer must not cause an exception, which would end the process.
RC_BOOST_PROP(corruptBytesNeverThrow, (const std::string &noise, std::size_t position))
{
    std::string bytes = peer::encodeSealedPart(samplePart());
    bytes.replace(position % bytes.size(), noise.size(), noise);
    peer::decodeSealedPart(bytes);
}

BOOST_AUTO_TEST_SUITE_END()
