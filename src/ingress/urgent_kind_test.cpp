// What the most urgent kind of a service loses under overload control. KNOWN-RED.txt lists this test.

#include <boost/test/unit_test.hpp>

#include "overload_emulation.hpp"
#include "trefoilstile/ingress/overload_control.hpp"

namespace trefoilstile::ingress
{

using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(UrgentKind)

// Guards against an overload control that serves less of the most urgent kind than the rules without it, and less than of a kind of low
// priority with a long objective, as it does with the archive reads and log uploads of deployment A.
BOOST_AUTO_TEST_CASE(mostUrgentKindLosesLeast)
{
    EmulatedLoad reads{makeRoute("reads", 200ms, 1'200ms, 0), 1.3 * 200, 236ms};
    EmulatedLoad uploads{makeRoute("uploads", 1s, 4s, 2), 1.3 * 70, 720ms};
    reads.route.idempotent = true;
    reads.objects = uploads.objects = 300;
    const auto without = playSeeds({reads, uploads}, EmulatedRules::Today);
    const auto results = playSeeds({reads, uploads}, EmulatedRules::Overload);
    for (std::size_t i = 0; i < 2; ++i) {
        BOOST_TEST_MESSAGE("served " << results[i].served() << ", without control " << without[i].served() << "; in time "
                                     << results[i].inTime / results[i].sent << " and " << without[i].inTime / without[i].sent);
    }
    constexpr double tolerance = 0.02; // refused while the price rises
    BOOST_TEST(results[0].served() >= without[0].served() - tolerance);
    BOOST_TEST(results[0].served() >= results[1].served());
    BOOST_TEST(sum(results).value >= sum(without).value);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace trefoilstile::ingress
