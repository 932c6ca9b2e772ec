// Tests of the time until lost members are noticed, in virtual time, when many members are lost at the same moment.

#include <algorithm>

#include <boost/test/unit_test.hpp>

#include "testing/fleet.hpp"

using namespace trefoilstile;
using namespace trefoilstile::membership;
using namespace trefoilstile::membership::testing;
using namespace std::chrono_literals;

namespace
{

/// Time after a loss from which lookups must not name lost members: the time until the others count as out of contact, and 3 s.
constexpr base::Duration s_bound = 6s;

/// Failure domains and nodes in each: 12 instances; 297; failure domains of the size of 1,900, which know each other by summaries only.
constexpr std::pair<std::size_t, std::size_t> s_sizes[] = {{4, 3}, {6, 3}, {9, 33}, {2, 63}};

FleetOptions optionsOf(std::pair<std::size_t, std::size_t> size, std::uint64_t seed)
{
    FleetOptions options;
    options.domains = size.first;
    options.nodesPerDomain = size.second;
    options.seed = seed;
    return options;
}

/// Number of members other than itself that the node would name in the answer to a lookup.
std::size_t named(Fleet &fleet, std::size_t node)
{
    const auto &entries = fleet.nodes()[node].detector->table().entries();
    return static_cast<std::size_t>(std::count_if(entries.begin(), entries.end(), [&](const auto &entry) {
        return entry.second.isAlive() && !entry.second.silent && entry.first != fleet.nodes()[node].incarnation;
    }));
}

void startAndSettle(Fleet &fleet)
{
    fleet.startAll();
    BOOST_REQUIRE(fleet
                      .runUntil(
                          [&fleet] {
                              return fleet.agrees();
                          },
                          30s)
                      .has_value());
    fleet.run(5s);
}

} // namespace

BOOST_AUTO_TEST_SUITE(LostMembers)

// Guards against a time until the loss of all others is noticed that grows with their number, because a node probes them one by one.
BOOST_AUTO_TEST_CASE(lastNodeNamesNoLostMembers)
{
    for (const auto &size : s_sizes) {
        const std::uint64_t seeds = size.second > 3 ? 2 : 20;
        base::Duration longest{};
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            Fleet fleet(optionsOf(size, seed));
            startAndSettle(fleet);
            const std::size_t last = seed % fleet.nodes().size();
            for (std::size_t node = 0; node < fleet.nodes().size(); ++node) {
                if (node != last) {
                    fleet.kill(node);
                }
            }
            const auto noticed = fleet.runUntil(
                [&] {
                    return named(fleet, last) == 0;
                },
                60s);
            BOOST_REQUIRE(noticed.has_value());
            longest = std::max(longest, *noticed);
        }
        BOOST_TEST((longest <= s_bound), size.first << " failure domains with " << size.second << " nodes: " << base::toMilliseconds(longest) << " ms");
        BOOST_TEST_MESSAGE(size.first << " failure domains with " << size.second << " nodes: noticed after at most " << base::toMilliseconds(longest) << " ms");
    }
}

// Guards against the same where several members are left, which hear from each other.
BOOST_AUTO_TEST_CASE(fewNodesThatAreLeftNameNoLostMembers)
{
    for (const auto &size : s_sizes) {
        Fleet fleet(optionsOf(size, 7));
        startAndSettle(fleet);
        for (std::size_t node = 2; node < fleet.nodes().size(); ++node) {
            fleet.kill(node);
        }
        fleet.run(s_bound);
        BOOST_TEST(named(fleet, 0) <= 1U);
        BOOST_TEST(named(fleet, 1) <= 1U);
    }
}

// Guards against a node that was cut off and, when it is back, makes the others suspect each other, or keeps leaving them out itself.
BOOST_AUTO_TEST_CASE(nodeThatWasCutOffDoesNotSpreadSuspicions)
{
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        Fleet fleet(optionsOf({9, 33}, seed));
        startAndSettle(fleet);
        std::vector<int> groups(fleet.nodes().size(), 0);
        groups[40] = 1;
        fleet.partition(groups);
        fleet.run(4s);
        fleet.heal();
        std::size_t fewest = 32;
        for (int step = 0; step < 40; ++step) {
            fleet.run(100ms);
            fewest = std::min(fewest, named(fleet, 41));
        }
        // Before the change, a node that is cut off for 4 s suspects one member for each of its probes.
        BOOST_TEST(fewest >= 32U - 9U);
        BOOST_TEST(named(fleet, 40) == 32U);
        BOOST_TEST(fleet
                       .runUntil(
                           [&fleet] {
                               return fleet.agrees();
                           },
                           30s)
                       .has_value());
    }
}

// Guards against the loss of one member that costs many messages.
BOOST_AUTO_TEST_CASE(lossOfOneMemberCostsFewMessages)
{
    Fleet fleet(optionsOf({9, 33}, 1));
    startAndSettle(fleet);
    fleet.resetCounts();
    fleet.run(10s);
    const auto total = [&fleet] {
        std::uint64_t sent = 0;
        for (const FleetNode &node : fleet.nodes()) {
            sent += node.sent;
        }
        return sent;
    };
    const std::uint64_t before = total();
    fleet.resetCounts();
    fleet.kill(40);
    fleet.run(10s);
    BOOST_TEST(total() <= before + before / 50);
}

BOOST_AUTO_TEST_SUITE_END()
