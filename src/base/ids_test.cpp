// Guards against identifiers that change when written as text and parsed again: the request of a key that names the wrong
// incarnation could run twice.

#include "trefoilstile/base/ids.hpp"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

using namespace trefoilstile::base;

BOOST_AUTO_TEST_SUITE(Ids)

// A lost digit or a wrong byte order would turn one incarnation into another.
RC_BOOST_PROP(hexRoundTrips, (std::uint64_t value))
{
    RC_ASSERT(incarnationFromHex(toHex(IncarnationId{value})) == IncarnationId{value});
}

// A lenient parser would read short, long, upper-case or signed text as the identifier of some incarnation.
BOOST_AUTO_TEST_CASE(rejectsMalformedHex)
{
    for (const char *text : {"", "0123456789abcde", "0123456789abcdef0", "0123456789ABCDEF", "-123456789abcdef"}) {
        BOOST_TEST(!incarnationFromHex(text).has_value(), text);
    }
}

// Rendezvous hashing needs equal hashes for equal input and different ones for different texts or seeds: otherwise nodes
// would disagree, or all keys would go to one node.
BOOST_AUTO_TEST_CASE(stableHashDependsOnTextAndSeedOnly)
{
    BOOST_TEST(stableHash("ernakulam-a", 1) == stableHash("ernakulam-a", 1));
    BOOST_TEST(stableHash("ernakulam-a", 1) != stableHash("ernakulam-a", 2));
    BOOST_TEST(stableHash("ernakulam-a") != stableHash("ernakulam-b"));
}

BOOST_AUTO_TEST_SUITE_END()
