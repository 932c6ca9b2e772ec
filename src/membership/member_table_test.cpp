// Tests of the merge rules, the gossip queue and the probe order: member lists must not depend on the order of messages, and
// old gossip must not revive dead members.

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
    // Each report number identifies one content, since only the member itself assigns it.
    made.status.spareCapacity = static_cast<std::uint32_t>(made.status.reportNumber * 10);
    made.status.leaving = made.status.reportNumber >= 2;
    return made;
}

} // namespace

BOOST_AUTO_TEST_SUITE(MemberTableMerge)

// Datagrams are reordered and duplicated; tables that depended on it would never agree.
RC_BOOST_PROP(resultIsIndependentOfOrderAndRepetition, ())
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

// Old gossip that arrives late must not revive a dead member.
BOOST_AUTO_TEST_CASE(onlyHigherStatusNumberOverridesTombstone)
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

// Nodes that forward tombstones of unknown members would renew them at each other, so they would never expire.
BOOST_AUTO_TEST_CASE(tombstoneOfUnknownMemberIsKeptButNotDisseminated)
{
    MemberTable table(10);
    BOOST_TEST((table.apply(update(1, 4, MemberState::Dead), {}) == Change::None));
    BOOST_TEST(!table.find({1})->disseminated, "otherwise nodes would renew each other's tombstones indefinitely");
    BOOST_TEST(
        (table.apply(update(1, 4, MemberState::Alive), {}) == Change::State), "another node lists the member as alive, so the tombstone is disseminated");
    BOOST_TEST(table.find({1})->disseminated);
    BOOST_TEST((table.find({1})->status.state == MemberState::Dead));
}

// Reports about ever more incarnations must not grow the table without limit.
BOOST_AUTO_TEST_CASE(numberOfMembersIsBounded)
{
    MemberTable table(2);
    for (std::uint64_t id = 1; id <= 3; ++id) {
        table.apply(update(id, 1, MemberState::Alive), {});
    }
    BOOST_TEST(table.entries().size() == 2U);
}

// An outdated platform list must not revive a dead member or mark an unknown one.
BOOST_AUTO_TEST_CASE(platformListMarksLeavingButDoesNotRevive)
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

BOOST_AUTO_TEST_SUITE(GossipQueueAndProbeRound)

// A report sent too rarely does not reach all members; one sent without limit, or above the byte budget, overflows datagrams.
RC_BOOST_PROP(eachReportIsSentTransmissionLimitTimesWithinByteBudget, (const std::set<std::uint8_t> &ids))
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

// A target skipped by random selection would have no bound on the detection time of its failure.
RC_BOOST_PROP(eachTargetIsReturnedOncePerRound, (const std::set<int> &targets, std::uint64_t seed))
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
