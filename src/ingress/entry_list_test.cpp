// Tests of the instances that callers are told to use.

#include "trefoilstile/ingress/entry_list.hpp"

#include <boost/test/unit_test.hpp>

namespace trefoilstile::ingress
{

namespace
{

using namespace std::chrono_literals;

constexpr base::TimePoint s_start = base::TimePoint(100s);

void add(membership::MemberTable &members, std::uint64_t number, std::string domain, std::string region, bool leaving = false)
{
    membership::MemberUpdate update;
    update.incarnation = base::IncarnationId{number};
    update.status.leaving = leaving;
    update.info = membership::MemberInfo{"m" + std::to_string(number), "10.0.0." + std::to_string(number) + ":80", "", std::move(region), std::move(domain)};
    members.apply(update, s_start);
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
    BOOST_TEST((entryAddresses(members, "one", "east") == std::vector<std::string>{"10.0.0.1:80", "10.0.0.2:80"}));
}

// Guards against a caller left with the only instance of its failure domain, which may fail.
BOOST_AUTO_TEST_CASE(regionWhereTheFailureDomainHasOnlyOne)
{
    membership::MemberTable members(64);
    add(members, 1, "east", "one");
    add(members, 2, "west", "one");
    add(members, 3, "north", "two");
    BOOST_TEST(entryAddresses(members, "one", "east").size() == 2U);
    BOOST_TEST(entryAddresses(members, "three", "nowhere").size() == 3U);
}

// Guards against naming instances that are stopping or dead.
BOOST_AUTO_TEST_CASE(leavingAndDeadInstancesAreLeftOut)
{
    membership::MemberTable members(64);
    add(members, 1, "east", "one");
    add(members, 2, "east", "one", true);
    add(members, 3, "east", "one");
    members.report(base::IncarnationId{3}, membership::MemberState::Dead, s_start);
    BOOST_TEST((entryAddresses(members, "one", "east") == std::vector<std::string>{"10.0.0.1:80"}));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace trefoilstile::ingress
