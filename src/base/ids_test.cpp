// Guards against identifiers that change in their text form: a key that names the wrong incarnation could run twice.

#include "trefoilstile/base/ids.hpp"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

using namespace trefoilstile::base;

BOOST_AUTO_TEST_SUITE(Ids)

RC_BOOST_PROP(hexRoundTrips, (std::uint64_t value))
{
    RC_ASSERT(incarnationFromHex(toHex(IncarnationId{value})) == IncarnationId{value});
}

BOOST_AUTO_TEST_CASE(refusesOtherText)
{
    for (const char *text : {"", "0123456789abcde", "0123456789abcdef0", "0123456789ABCDEF", "-123456789abcdef"}) {
        BOOST_TEST(!incarnationFromHex(text).has_value(), text);
    }
}

BOOST_AUTO_TEST_CASE(stableHashIsTheSameOnEveryRun)
{
    BOOST_TEST(stableHash("ernakulam-a", 1) == stableHash("ernakulam-a", 1));
    BOOST_TEST(stableHash("ernakulam-a", 1) != stableHash("ernakulam-a", 2));
    BOOST_TEST(stableHash("ernakulam-a") != stableHash("ernakulam-b"));
}

BOOST_AUTO_TEST_SUITE_END()
