// Tests of the selection of entry instances for lookup answers.

#include "trefoilstile/ingress/entry_list.hpp"

#include <algorithm>
#include <map>
#include <set>

#include <boost/test/unit_test.hpp>

namespace trefoilstile::ingress
{

namespace
{

using namespace std::chrono_literals;

constexpr base::TimePoint s_start = base::TimePoint(100s);

void addMember(
    membership::MemberTable &members, std::uint64_t number, std::string domain, std::string region, bool leaving = false, std::uint32_t spareCapacity = 0)
{
    membership::MemberUpdate update;
    update.incarnation = base::IncarnationId{number};
    update.status.leaving = leaving;
    update.status.spareCapacity = spareCapacity;
    update.info = membership::MemberInfo{"m" + std::to_string(number), "10.0.0." + std::to_string(number) + ":80", "", std::move(region), std::move(domain)};
    members.apply(update, s_start);
}

std::vector<std::string> addressesFor(const membership::MemberTable &members, const EntryCaller &caller, std::uint64_t seed = 1)
{
    base::SplitMix64 random(seed);
    return sampleEntryAddresses(entryCandidates(members, caller), random);
}

std::vector<std::string> addresses(const membership::MemberTable &members, std::string_view region, std::string_view failureDomain, std::uint64_t seed = 1)
{
    return addressesFor(members, {region, failureDomain}, seed);
}

HomeRegions homesIn(const std::vector<std::string> &regions)
{
    HomeRegions homes;
    homes.limitTo(regions);
    return homes;
}

} // namespace

BOOST_AUTO_TEST_SUITE(EntryList)

// Guards against listing instances of other failure domains while the caller's own has enough instances.
BOOST_AUTO_TEST_CASE(ownFailureDomainFirst)
{
    membership::MemberTable members(64);
    addMember(members, 1, "east", "one");
    addMember(members, 2, "east", "one");
    addMember(members, 3, "west", "one");
    BOOST_TEST((addresses(members, "one", "east") == std::vector<std::string>{"10.0.0.1:80", "10.0.0.2:80"}));
}

// Guards against a caller that knows only the single instance of its failure domain and has no alternative when it fails.
BOOST_AUTO_TEST_CASE(regionIsUsedWhenTheFailureDomainHasOneInstance)
{
    membership::MemberTable members(64);
    addMember(members, 1, "east", "one");
    addMember(members, 2, "west", "one");
    addMember(members, 3, "north", "two");
    BOOST_TEST(addresses(members, "one", "east").size() == 2U);
    BOOST_TEST(addresses(members, "three", "nowhere").size() == 3U);
}

// Guards against listing instances that are stopping or dead.
BOOST_AUTO_TEST_CASE(leavingAndDeadInstancesAreLeftOut)
{
    membership::MemberTable members(64);
    addMember(members, 1, "east", "one");
    addMember(members, 2, "east", "one", true);
    addMember(members, 3, "east", "one");
    members.report(base::IncarnationId{3}, membership::MemberState::Dead, s_start);
    BOOST_TEST((addresses(members, "one", "east") == std::vector<std::string>{"10.0.0.1:80"}));
}

// Guards against lost instances that are named because their loss has not been confirmed yet: this instance hears from no other one.
BOOST_AUTO_TEST_CASE(silentInstancesAreLeftOut)
{
    membership::MemberTable members(64);
    addMember(members, 1, "east", "one");
    addMember(members, 2, "east", "one");
    addMember(members, 3, "east", "one");
    members.setSilent(base::IncarnationId{2}, true);
    members.setSilent(base::IncarnationId{3}, true);
    BOOST_TEST((addresses(members, "one", "east") == std::vector<std::string>{"10.0.0.1:80"}));
    members.setSilent(base::IncarnationId{3}, false);
    BOOST_TEST(addresses(members, "one", "east").size() == 2U);
}

// Guards against small instances that get as many callers as large ones. Callers choose any address of an answer, so the load of
// each instance has to be in proportion to its spare capacity.
BOOST_AUTO_TEST_CASE(callersAreDividedBySpareCapacity)
{
    membership::MemberTable members(64);
    for (std::uint64_t number = 1; number <= 10; ++number) {
        addMember(members, number, "east", "one", false, number <= 2 ? 250 : 12);
    }
    std::map<std::string, double> callers;
    constexpr int answers = 4'000;
    for (int seed = 0; seed < answers; ++seed) {
        const auto selected = addresses(members, "one", "east", static_cast<std::uint64_t>(seed));
        BOOST_REQUIRE(selected.size() >= 2U);
        for (const std::string &address : selected) {
            callers[address] += 1.0 / static_cast<double>(selected.size()) / answers;
        }
    }
    // Spare capacities of 250 and 12 out of 596 in total; a tolerance of a tenth for sampling and for the varying size of answers.
    BOOST_TEST(callers["10.0.0.1:80"] > 0.9 * 250 / 596);
    for (std::uint64_t number = 3; number <= 10; ++number) {
        const double share = callers["10.0.0." + std::to_string(number) + ":80"];
        BOOST_TEST(share > 0.0);
        BOOST_TEST(share < 2.0 * 12 / 596);
    }
}

// Guards against callers that close connections because of small differences: instances of similar capacity are in every answer.
BOOST_AUTO_TEST_CASE(similarInstancesAreInEveryAnswer)
{
    membership::MemberTable members(64);
    addMember(members, 1, "east", "one", false, 200);
    addMember(members, 2, "east", "one", false, 150);
    addMember(members, 3, "east", "one", false, 110);
    addMember(members, 4, "east", "one"); // has not reported yet
    for (std::uint64_t seed = 0; seed < 200; ++seed) {
        BOOST_TEST(addresses(members, "one", "east", seed).size() == 4U);
    }
}

// Guards against a single instance of a region that gets all callers of the region until it is overloaded, and against callers that are
// sent to other regions while it has spare capacity, or while nothing is known of it.
BOOST_AUTO_TEST_CASE(singleInstanceOfARegionIsRelieved)
{
    const auto shareOfSingle = [](std::uint32_t spareCapacity) {
        membership::MemberTable members(64);
        addMember(members, 1, "east", "one", false, spareCapacity);
        for (std::uint64_t number = 2; number <= 8; ++number) {
            addMember(members, number, "west", "two", false, 100);
        }
        double share = 0;
        constexpr int answers = 2'000;
        for (std::uint64_t seed = 0; seed < answers; ++seed) {
            const auto selected = addresses(members, "one", "east", seed);
            if (std::find(selected.begin(), selected.end(), "10.0.0.1:80") != selected.end()) {
                share += 1.0 / static_cast<double>(selected.size()) / answers;
            }
        }
        return share;
    };
    BOOST_TEST(shareOfSingle(0) > 0.999); // unknown
    BOOST_TEST(shareOfSingle(50) > 0.999);
    BOOST_TEST(shareOfSingle(1) < 0.3);
    BOOST_TEST(shareOfSingle(40) > shareOfSingle(25));
    BOOST_TEST(shareOfSingle(25) > shareOfSingle(10));
}

// Guards against callers whose routes have home regions and that are referred to other regions while an instance of their own is stopped
// as planned.
BOOST_AUTO_TEST_CASE(reliefStaysWithinTheHomeRegions)
{
    membership::MemberTable members(64);
    addMember(members, 1, "east-a", "one", true, 1);
    addMember(members, 2, "east-b", "one", false, 1);
    for (std::uint64_t number = 3; number <= 5; ++number) {
        addMember(members, number, "west", number == 5 ? "three" : "two", false, 100);
    }
    for (std::uint64_t seed = 0; seed < 200; ++seed) {
        BOOST_TEST((addressesFor(members, {"one", "east-b", homesIn({"one"})}, seed) == std::vector<std::string>{"10.0.0.2:80"}));
        for (const std::string &address : addressesFor(members, {"one", "east-b", homesIn({"one", "three"})}, seed)) {
            BOOST_TEST((address == "10.0.0.2:80" || address == "10.0.0.5:80"));
        }
        BOOST_TEST((addressesFor(members, {"one", "east-b", HomeRegions::none()}, seed) == std::vector<std::string>{"10.0.0.2:80"}));
    }
}

// Guards against an instance that has just started, takes a region for lost because it knows none of its instances yet, and names itself.
BOOST_AUTO_TEST_CASE(unknownRegionIsNotTakenForLostAfterAStart)
{
    membership::MemberTable members(64);
    addMember(members, 1, "west", "two");
    EntryListOptions options;
    options.membersKnown = false;
    BOOST_TEST(entryCandidates(members, {"one", "east", homesIn({"one"})}, options).empty());
    BOOST_TEST(entryCandidates(members, {"one", "east"}, options).size() == 1U);
    options.membersKnown = true;
    BOOST_TEST(entryCandidates(members, {"one", "east", homesIn({"one"})}, options).size() == 1U);
}

// Guards against an instance that names itself to callers who must stay in other regions, before it knows another one.
BOOST_AUTO_TEST_CASE(callersUseTheirOwnRegionAndTheHomes)
{
    const EntryCaller caller{"one", "east", homesIn({"two"})};
    BOOST_TEST(caller.mayUse("one"));
    BOOST_TEST(caller.mayUse("two"));
    BOOST_TEST(!caller.mayUse("three"));
}

// Guards against the same referral when the only instance of a region is stopped as planned, and against callers who are told no
// instance after the unplanned loss of their region.
BOOST_AUTO_TEST_CASE(stoppedRegionIsReplacedWithinTheHomeRegions)
{
    membership::MemberTable members(64);
    addMember(members, 1, "east", "one", true);
    addMember(members, 2, "west", "two");
    addMember(members, 3, "north", "three");
    const auto withHomes = [&members](const std::vector<std::string> &homes) {
        return addressesFor(members, {"one", "east", homesIn(homes)});
    };
    BOOST_TEST((withHomes({"one"}) == std::vector<std::string>{"10.0.0.1:80"}));
    BOOST_TEST((withHomes({"one", "two"}) == std::vector<std::string>{"10.0.0.2:80"}));
    BOOST_TEST(withHomes({}).size() == 2U);
    members.report(base::IncarnationId{1}, membership::MemberState::Dead, s_start);
    BOOST_TEST(withHomes({"one"}).empty());
    addMember(members, 4, "east", "one");
    BOOST_TEST((withHomes({"one"}) == std::vector<std::string>{"10.0.0.4:80"}));
    members.report(base::IncarnationId{4}, membership::MemberState::Dead, s_start);
    BOOST_TEST(withHomes({"one"}).size() == 2U);
}

// Guards against answers with a single instance when all other instances are much smaller, and against answers that omit small
// instances after the large one has failed.
BOOST_AUTO_TEST_CASE(minimumNumberOfInstancesIsListed)
{
    membership::MemberTable members(64);
    addMember(members, 1, "east", "one", false, 1'000);
    for (std::uint64_t number = 2; number <= 5; ++number) {
        addMember(members, number, "east", "one", false, 1);
    }
    for (std::uint64_t seed = 0; seed < 200; ++seed) {
        BOOST_TEST(addresses(members, "one", "east", seed).size() >= 2U);
    }
    members.report(base::IncarnationId{1}, membership::MemberState::Dead, s_start);
    BOOST_TEST(addresses(members, "one", "east").size() == 4U);
}

// Guards against answers above the maximum length, and against instances of a large failure domain that no answer lists.
BOOST_AUTO_TEST_CASE(largeFailureDomainIsSampled)
{
    membership::MemberTable members(256);
    for (std::uint64_t number = 1; number <= 200; ++number) {
        addMember(members, number, "east", "one", false, 100);
    }
    std::set<std::string> selected;
    for (std::uint64_t seed = 0; seed < 200; ++seed) {
        const auto answer = addresses(members, "one", "east", seed);
        BOOST_TEST(answer.size() == 64U);
        selected.insert(answer.begin(), answer.end());
    }
    BOOST_TEST(selected.size() == 200U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace trefoilstile::ingress
