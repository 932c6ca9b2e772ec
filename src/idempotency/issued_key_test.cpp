// Tests of the text form of keys and of the fingerprint.

#include "trefoilstile/idempotency/issued_key.hpp"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

using namespace trefoilstile;
using namespace trefoilstile::idempotency;

BOOST_AUTO_TEST_SUITE(IssuedKeys)

// Guards against a key that is parsed differently from how it was created: the wrong incarnation would run the request.
RC_BOOST_PROP(prefixRoundTrips, (std::uint64_t incarnation, std::uint64_t bits, std::uint16_t minutes))
{
    const base::TimePoint start{std::chrono::hours(5)};
    const KeyIssuer issuer({incarnation}, start);
    const std::string key = issuer.prefixFor(start + std::chrono::minutes(minutes) + std::chrono::seconds(59), bits) + "order-7_A";
    const auto parsed = IssuedKey::parse(key);
    RC_ASSERT(parsed.has_value());
    RC_ASSERT(parsed->incarnation == base::IncarnationId{incarnation});
    RC_ASSERT(parsed->issueTick() == minutes);
    RC_ASSERT(parsed->suffix == "order-7_A");
    RC_ASSERT(keyKind(key) == KeyKind::Issued);
}

// Guards against malformed text that is taken for an issued key, and against keys that are too long or not printable.
BOOST_AUTO_TEST_CASE(otherTextIsCallerGeneratedOrInvalid)
{
    const std::string prefix = "t1.0123456789abcdef.0123456789abcdef.";
    for (const std::string &text :
        {prefix, prefix + "a b", prefix + std::string(65, 'a'), prefix + "a.b", std::string("T1") + prefix.substr(2) + "a", std::string("x")}) {
        BOOST_TEST(!IssuedKey::parse(text).has_value(), text);
    }
    BOOST_TEST((keyKind(prefix + "a.b") == KeyKind::CallerGenerated));
    BOOST_TEST((keyKind(std::string(128, 'k')) == KeyKind::CallerGenerated));
    for (const std::string &text : {std::string(), std::string(129, 'k'), std::string("a b"), std::string("a\n"), std::string("caf\xc3\xa9")}) {
        BOOST_TEST((keyKind(text) == KeyKind::Invalid), text);
    }
}

// Guards against equal fingerprints of requests whose concatenated parts are equal.
BOOST_AUTO_TEST_CASE(fingerprintDependsOnTheBoundariesBetweenItsParts)
{
    BOOST_TEST((fingerprintOf("POST", "/holds", "x") != fingerprintOf("POST", "/hold", "sx")));
    BOOST_TEST((fingerprintOf("POST", "/holds", "x") == fingerprintOf("POST", "/holds", "x")));
}

BOOST_AUTO_TEST_SUITE_END()
