// Guards against member lists that depend on the order of messages, and against old gossip that revives the dead.

#include "trefoilstile/membership/member_table.hpp"

#include <algorithm>

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include "trefoilstile/membership/gossip_queue.hpp"
#include "trefoilstile/membership/probe_round.hpp"

using namespace trefoilstile;
using namespace trefoilstile::membership;

namespace
{

MemberUpdate update(std::uint64_t id, std::uint64_t number, MemberState state)
{
    MemberUpdate made{{id}, {}, MemberInfo{"n", "c", "p" + std::to_string(id), "r", "d"}};
    made.status.statusNumber = number;
    made.status.state = state;
    return made;
}

MemberUpdate randomUpdate()
{
    MemberUpdate made = update(*rc::gen::inRange(1, 3), *rc::gen::inRange(1, 4), MemberState(*rc::gen::inRange(0, 3)));
    made.status.reportNumber = *rc::gen::inRange<std::uint64_t>(0, 4);
    // A report number stands for one content, as the member itself gives it out.
    made.status.spareCapacity = static_cast<std::uint32_t>(made.status.reportNumber * 10);
    made.status.leaving = made.status.reportNumber >= 2;
    return made;
}

} // namespace

BOOST_AUTO_TEST_SUITE(Members)

RC_BOOST_PROP(orderAndRepetitionOfReportsDoNotMatter, ())
{
    const auto updates = *rc::gen::container<std::vector<MemberUpdate>>(rc::gen::exec(randomUpdate));
    MemberTable first(10);
    MemberTable second(10);
    for (const MemberUpdate &each : updates) {
        first.apply(each, {});
    }
    for (int round = 0; round < 2; ++round) {
        for (auto each = updates.rbegin(); each != updates.rend(); ++each) {
            second.apply(*each, {});
        }
    }
    RC_ASSERT(first.entries().size() == second.entries().size());
    for (const auto &[id, entry] : first.entries()) {
        RC_ASSERT(entry.status == second.find(id)->status);
    }
}

BOOST_AUTO_TEST_CASE(tombstoneIsOverriddenByTheMemberOnly)
{
    MemberTable table(10);
    table.apply(update(1, 4, MemberState::Alive), {});
    table.report({1}, MemberState::Dead, {});
    for (const MemberState state : {MemberState::Alive, MemberState::Suspect, MemberState::Dead}) {
        BOOST_TEST((table.apply(update(1, 4, state), {}) == Change::None));
        BOOST_TEST((table.apply(update(1, 3, state), {}) == Change::None));
    }
    BOOST_TEST((table.apply(update(1, 5, MemberState::Alive), {}) == Change::State));
}

BOOST_AUTO_TEST_CASE(tombstoneOfAnUnknownMemberIsKeptButNotPassedOn)
{
    MemberTable table(10);
    BOOST_TEST((table.apply(update(1, 4, MemberState::Dead), {}) == Change::None));
    BOOST_TEST(!table.find({1})->passedOn, "else nodes would renew each other's tombstones for ever");
    BOOST_TEST((table.apply(update(1, 4, MemberState::Alive), {}) == Change::State), "somebody holds it as alive: one of the two is wrong");
    BOOST_TEST(table.find({1})->passedOn);
    BOOST_TEST((table.find({1})->status.state == MemberState::Dead));
}

BOOST_AUTO_TEST_CASE(numberOfMembersIsBounded)
{
    MemberTable table(2);
    for (std::uint64_t id = 1; id <= 3; ++id) {
        table.apply(update(id, 1, MemberState::Alive), {});
    }
    BOOST_TEST(table.entries().size() == 2U);
}

BOOST_AUTO_TEST_CASE(platformListMarksLeavingAndNeverRevives)
{
    MemberTable table(10);
    table.apply(update(1, 1, MemberState::Dead), {});
    BOOST_TEST(table.markListedLeaving({1}));
    BOOST_TEST(!table.markListedLeaving({1}));
    BOOST_TEST(!table.markListedLeaving({2}));
    BOOST_TEST(table.find({1})->isLeaving());
    BOOST_TEST((table.find({1})->status.state == MemberState::Dead));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(Queues)

RC_BOOST_PROP(eachReportIsSentABoundedNumberOfTimesWithinTheBytes, (const std::set<std::uint8_t> &ids))
{
    MemberTable table(300);
    GossipQueue queue;
    for (const std::uint8_t id : ids) {
        queue.push({id}, table.apply(update(id, 1, MemberState::Alive), {}));
    }
    std::map<base::IncarnationId, std::size_t> sent;
    for (std::size_t message = 0; message < 4 * ids.size() + 1; ++message) {
        const std::size_t allowed = 200;
        std::size_t bytes = allowed;
        std::size_t used = 0;
        for (const MemberUpdate &picked : queue.pick(table, 3, bytes)) {
            ++sent[picked.incarnation];
            used += encodedBytes(picked);
        }
        RC_ASSERT(used + bytes == allowed);
    }
    RC_ASSERT(queue.size() == 0U);
    RC_ASSERT(sent.size() == ids.size());
    RC_ASSERT(std::all_of(sent.begin(), sent.end(), [](const auto &entry) {
        return entry.second == 3;
    }));
}

RC_BOOST_PROP(eachTargetComesOnceARound, (const std::set<int> &targets, std::uint64_t seed))
{
    const std::vector<int> all(targets.begin(), targets.end());
    ProbeRound<int> round;
    base::SplitMix64 random(seed);
    for (int rounds = 0; rounds < 2; ++rounds) {
        std::set<int> seen;
        for (std::size_t i = 0; i < all.size(); ++i) {
            seen.insert(*round.next(all, random));
        }
        RC_ASSERT(seen == targets);
    }
}

BOOST_AUTO_TEST_SUITE_END()
