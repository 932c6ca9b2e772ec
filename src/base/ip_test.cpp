// Guards against addresses and blocks that are parsed wrongly, since every caller is steered by its address.

#include "trefoilstile/base/ip.hpp"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

using namespace trefoilstile::base;

BOOST_AUTO_TEST_SUITE(Ip)

// An address of the wrong family would match none of the blocks, or those of other callers.
BOOST_AUTO_TEST_CASE(parsesBothFamilies)
{
    BOOST_TEST(toString(parseIpAddress("10.1.2.3").value()) == "10.1.2.3");
    BOOST_TEST(toString(parseIpAddress("2001:db8::1").value()) == "2001:db8::1");
    BOOST_TEST(parseIpAddress("10.1.2.3").value().isV4());
    BOOST_TEST(!parseIpAddress("2001:db8::1").value().isV4());
}

// A typing error in a block would otherwise steer callers that the document does not mean.
BOOST_AUTO_TEST_CASE(rejectsMalformedBlocks)
{
    for (const char *text : {"", "10.0.0.0", "10.0.0.0/", "10.0.0.0/33", "10.0.0.1/24", "2001:db8::/129", "10.0.0.0/8x", "x/8", "10.0.0.0/-1"}) {
        BOOST_TEST(!parseIpBlock(text).has_value(), text);
    }
}

// A wrong mask at some prefix length would leave callers out of a block or add those of the neighbouring block.
RC_BOOST_PROP(blockContainsExactlyItsPrefix, (std::uint32_t bits, std::uint8_t rawLength))
{
    const unsigned length = rawLength % 33U;
    const IpAddress address{0, 0x0000ffff00000000ULL | bits};
    const IpBlock block{masked(address, 96 + length), static_cast<std::uint8_t>(96 + length)};
    RC_ASSERT(block.contains(address));
    RC_ASSERT(parseIpBlock(toString(block.first) + "/" + std::to_string(length)) == block);
    if (length > 0) {
        RC_ASSERT(!block.contains({0, address.low ^ (1ULL << (32 - length))}));
    }
}

BOOST_AUTO_TEST_SUITE_END()
