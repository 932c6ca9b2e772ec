// Tests that placement decides as before where overload control is not in effect.

#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "trefoilstile/base/ids.hpp"
#include "trefoilstile/base/random.hpp"
#include "trefoilstile/ingress/placement.hpp"

namespace trefoilstile::ingress
{

namespace
{

using namespace std::chrono_literals;

/// Decisions about random requests under random loads, as text.
std::string decisions(const PlacementOptions &options, std::uint64_t seed, int count, std::uint64_t levels = 12)
{
    base::SplitMix64 random(seed);
    base::TimePoint now(100s);
    UpstreamTable upstreams;
    upstreams.setRegions({{"east", "one"}, {"north", "two"}});
    upstreams.setSourceAvailable(true, now - 60s);
    Configuration configuration;
    configuration.services["s"].name = "s";
    upstreams.setServices(configuration);
    for (int i = 0; i < 24; ++i) {
        upstreams.report({std::to_string(i),
                             "s",
                             "127.0.0.1:" + std::to_string(1'000 + i),
                             i % 2 == 0 ? "east" : "north",
                             static_cast<std::uint32_t>(2 + random.next() % 5)},
            now);
    }
    Placement placement(upstreams, "one", "east", 1, options);
    placement.setDemand({{"one", 1}, {"two", 1}});
    placement.advance(configuration, now);
    std::string text;
    for (int i = 0; i < count; ++i) {
        now += 20ms;
        const std::uint64_t level = i / 50 % levels; // from idle to overloaded
        for (const UpstreamTable::Pointer &upstream : upstreams.ofService("s")) {
            upstreams.applyReportedLoad(*upstream, {static_cast<std::uint32_t>(random.next() % (level + 1)), 0, upstream->report.slots}, now);
        }
        Route route;
        route.priority = random.next() % 4;
        route.latencyObjective = 100ms * (1 + random.next() % 9);
        const auto left = 100ms * (1 + random.next() % 30);
        const PlacementResult result = placement.choose({route, "s", random.next() % 200, {}, left}, configuration, now);
        text += std::to_string(static_cast<int>(result.outcome)) + std::to_string(static_cast<int>(result.reason)) + " "
            + (result.upstream ? result.upstream->report.id : std::to_string(base::toMilliseconds(result.retryAfter))) + "\n";
        if (result.upstream && random.next() % 2 == 0) {
            upstreams.requestSent(*result.upstream, now);
            upstreams.attemptEnded(*result.upstream, AttemptVerdict::Served, 10ms * (1 + random.next() % 40), result.load, now);
        }
        placement.advance(configuration, now);
    }
    return text;
}

} // namespace

BOOST_AUTO_TEST_SUITE(OverloadOffSuite)

// Guards against a change of the decisions at deployments without overload control. The digests are those of commit f88f140, the last
// one without it.
BOOST_AUTO_TEST_CASE(decisionsWithoutOverloadControlAreUnchanged)
{
    BOOST_TEST(base::stableHash(decisions({}, 1, 3'000)) == 7189617152464954371U);
    BOOST_TEST(base::stableHash(decisions({}, 2, 3'000)) == 13673780240380894082U);
}

// Guards against overload control in effect for a configuration without accounts whose upstreams do not report their speed.
BOOST_AUTO_TEST_CASE(automaticOverloadControlNeedsAccountsOrReportedSpeeds)
{
    PlacementOptions options;
    options.overloadMode = OverloadMode::Auto;
    BOOST_TEST((decisions(options, 3, 2'000, 40) == decisions({}, 3, 2'000, 40)));
    options.overloadMode = OverloadMode::On;
    BOOST_TEST((decisions(options, 3, 2'000, 40) != decisions({}, 3, 2'000, 40)));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace trefoilstile::ingress
