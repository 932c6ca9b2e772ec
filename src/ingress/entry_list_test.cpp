// Tests of the instances that callers are told to use.

#include "trefoilstile/ingress/entry_list.hpp"

#include <map>
#include <set>

#include <boost/test/unit_test.hpp>

namespace trefoilstile::ingress
{

namespace
{

using namespace std::chrono_literals;

constexpr base::TimePoint s_start = base::TimePoint(100s);

void add(membership::MemberTable &members, std::uint64_t number, std::string domain, std::string region, bool leaving = false, std::uint32_t spare = 0)
{
    membership::MemberUpdate update;
    update.incarnation = base::IncarnationId{number};
    update.status.leaving = leaving;
    update.status.spareCapacity = spare;
    update.info = membership::MemberInfo{"m" + std::to_string(number), "10.0.0." + std::to_string(number) + ":80", "", std::move(region), std::move(domain)};
    members.apply(update, s_start);
}

std::vector<std::string> addresses(const membership::MemberTable &members, std::string_view region, std::string_view failureDomain, std::uint64_t seed = 1)
{
    base::SplitMix64 random(seed);
    return sampleEntryAddresses(entryCandidates(members, region, failureDomain), random);
}

} // namespace

BOOST_AUTO_TEST_SUITE(EntryList)

// Guards against sending callers to other failure domains while their own has enough instances.
BOOST_AUTO_TEST_CASE(ownFailureDomainFirst)
{
    membership::MemberTable members(64);
    add(members, 1, "east", "one");
    add(members, 2, "east", "one");
    add(members, 3, "west", "one");
    BOOST_TEST((addresses(members, "one", "east") == std::vector<std::string>{"10.0.0.1:80", "10.0.0.2:80"}));
}

// Guards against a caller left with the only instance of its failure domain, which may fail.
BOOST_AUTO_TEST_CASE(regionWhereTheFailureDomainHasOnlyOne)
{
    membership::MemberTable members(64);
    add(members, 1, "east", "one");
    add(members, 2, "west", "one");
    add(members, 3, "north", "two");
    BOOST_TEST(addresses(members, "one", "east").size() == 2U);
    BOOST_TEST(addresses(members, "three", "nowhere").size() == 3U);
}

// Guards against naming instances that are stopping or dead.
BOOST_AUTO_TEST_CASE(leavingAndDeadInstancesAreLeftOut)
{
    membership::MemberTable members(64);
    add(members, 1, "east", "one");
    add(members, 2, "east", "one", true);
    add(members, 3, "east", "one");
    members.report(base::IncarnationId{3}, membership::MemberState::Dead, s_start);
    BOOST_TEST((addresses(members, "one", "east") == std::vector<std::string>{"10.0.0.1:80"}));
}

// Guards against small instances that get as many callers as large ones: with callers that take any address of an answer, the
// load of each instance is in proportion to what it can carry.
BOOST_AUTO_TEST_CASE(callersAreDividedByWhatInstancesCarry)
{
    membership::MemberTable members(64);
    for (std::uint64_t number = 1; number <= 10; ++number) {
        add(members, number, "east", "one", false, number <= 2 ? 250 : 12);
    }
    std::map<std::string, double> callers;
    constexpr int answers = 4'000;
    for (int seed = 0; seed < answers; ++seed) {
        const auto named = addresses(members, "one", "east", static_cast<std::uint64_t>(seed));
        BOOST_REQUIRE(named.size() >= 2U);
        for (const std::string &address : named) {
            callers[address] += 1.0 / static_cast<double>(named.size()) / answers;
        }
    }
    // 250 and 12 of 596 in all; a tenth of tolerance for the draw and for the uneven size of the answers.
    BOOST_TEST(callers["10.0.0.1:80"] > 0.9 * 250 / 596);
    for (std::uint64_t number = 3; number <= 10; ++number) {
        const double share = callers["10.0.0." + std::to_string(number) + ":80"];
        BOOST_TEST(share > 0.0);
        BOOST_TEST(share < 2.0 * 12 / 596);
    }
}

// Guards against connections that callers give up for nothing: instances that differ little are in every answer.
BOOST_AUTO_TEST_CASE(smallDifferencesChangeNoAnswer)
{
    membership::MemberTable members(64);
    add(members, 1, "east", "one", false, 200);
    add(members, 2, "east", "one", false, 150);
    add(members, 3, "east", "one", false, 110);
    add(members, 4, "east", "one"); // has not reported yet
    for (std::uint64_t seed = 0; seed < 200; ++seed) {
        BOOST_TEST(addresses(members, "one", "east", seed).size() == 4U);
    }
}

// Guards against a caller that depends on a single instance, and against small instances that are left out when the large ones
// are gone.
BOOST_AUTO_TEST_CASE(enoughAreNamed)
{
    membership::MemberTable members(64);
    add(members, 1, "east", "one", false, 1'000);
    for (std::uint64_t number = 2; number <= 5; ++number) {
        add(members, number, "east", "one", false, 1);
    }
    for (std::uint64_t seed = 0; seed < 200; ++seed) {
        BOOST_TEST(addresses(members, "one", "east", seed).size() >= 2U);
    }
    members.report(base::IncarnationId{1}, membership::MemberState::Dead, s_start);
    BOOST_TEST(addresses(members, "one", "east").size() == 4U);
}

// Guards against an answer that is too long, and against instances that a large failure domain never names.
BOOST_AUTO_TEST_CASE(largeFailureDomainIsNamedInParts)
{
    membership::MemberTable members(256);
    for (std::uint64_t number = 1; number <= 200; ++number) {
        add(members, number, "east", "one", false, 100);
    }
    std::set<std::string> named;
    for (std::uint64_t seed = 0; seed < 200; ++seed) {
        const auto answer = addresses(members, "one", "east", seed);
        BOOST_TEST(answer.size() == 64U);
        named.insert(answer.begin(), answer.end());
    }
    BOOST_TEST(named.size() == 200U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace trefoilstile::ingress
