// Tests of the time of a second attempt.

#include "trefoilstile/ingress/second_attempt.hpp"

#include <boost/test/unit_test.hpp>

namespace trefoilstile::ingress
{

namespace
{

using namespace std::chrono_literals;

constexpr FirstAttempt s_withoutSpeed{300ms, 100ms, 20ms, false, false, 1};

} // namespace

BOOST_AUTO_TEST_SUITE(SecondAttemptSuite)

// Guards against a change for deployments whose upstreams do not report their speed.
BOOST_AUTO_TEST_CASE(withoutReportedSpeedTheTimeAloneDecides)
{
    FirstAttempt first = s_withoutSpeed;
    BOOST_TEST((secondAttemptDelay(first) == 720ms));
    first.heardSince = true;
    first.speedFactor = 2.5; // cannot be known
    BOOST_TEST((secondAttemptDelay(first) == 720ms));
    first.latencyObjective = 1s;
    BOOST_TEST((secondAttemptDelay(first) == 1s));
}

// Guards against second attempts of requests that take seven times the mean on every upstream.
BOOST_AUTO_TEST_CASE(longRequestOnAMachineOfUsualSpeedIsNotRepeated)
{
    FirstAttempt first = s_withoutSpeed;
    first.speedReported = true;
    first.heardSince = true;
    BOOST_TEST((secondAttemptDelay(first) > 7 * first.service + first.wait));
}

// Guards against requests that wait for a slow machine although another could serve them in time.
BOOST_AUTO_TEST_CASE(slowMachineLetsASecondAttemptStartSooner)
{
    FirstAttempt first = s_withoutSpeed;
    first.speedReported = true;
    first.speedFactor = 2.5;
    first.heardSince = true;
    BOOST_TEST((secondAttemptDelay(first) == 360ms));
    // Cold work at the usual speed is not late yet.
    BOOST_TEST((secondAttemptDelay(first) > 3.3 * first.service));
}

// Guards against an upstream that stops responding and is taken for one with a long request.
BOOST_AUTO_TEST_CASE(silentMachineIsTreatedAsWithoutSpeed)
{
    FirstAttempt first = s_withoutSpeed;
    first.speedReported = true;
    BOOST_TEST((secondAttemptDelay(first) == secondAttemptDelay(s_withoutSpeed)));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace trefoilstile::ingress
