// Guards single rules of the failure detector that a fleet as a whole may hide, because others make up for them.

#include "trefoilstile/membership/failure_detector.hpp"

#include <algorithm>

#include <boost/test/unit_test.hpp>

using namespace trefoilstile;
using namespace trefoilstile::membership;

namespace
{

struct Sent {
    std::vector<Outgoing> all;

    void send(Outgoing outgoing)
    {
        all.push_back(std::move(outgoing));
    }
};

MemberInfo infoAt(const std::string &address)
{
    return {"name", address, address, "bkk", "bkk-a"};
}

GossipBody bodyFrom(std::uint64_t sender, const std::string &address, std::uint64_t statusNumber = 1)
{
    GossipBody body;
    body.sender = {{sender}, {}, infoAt(address)};
    body.sender.status.statusNumber = statusNumber;
    return body;
}

struct OneNode {
    base::SplitMix64 random{1};
    base::TimePoint now{std::chrono::hours(1)};
    Sent sink;
    FailureDetector node{{}, {1}, infoAt("a1"), {}, random};

    void hear(std::uint64_t sender, const Message &message)
    {
        node.receive({sender}, message, now, sink);
    }

    MemberState stateOf(std::uint64_t member)
    {
        return node.table().find({member})->status.state;
    }

    void hearDeath(std::uint64_t member, const std::string &address)
    {
        GossipBody body = bodyFrom(9, "a9");
        body.updates.push_back(bodyFrom(member, address).sender);
        body.updates.back().status.state = MemberState::Dead;
        hear(9, Gossip{body});
    }

    bool told(const std::string &address, std::uint64_t member, MemberState state)
    {
        return std::any_of(sink.all.begin(), sink.all.end(), [&](const Outgoing &outgoing) {
            const auto &updates = bodyOf(outgoing.message).updates;
            return outgoing.peerAddress == address && std::any_of(updates.begin(), updates.end(), [&](const MemberUpdate &update) {
                return update.incarnation.value == member && update.status.state == state;
            });
        });
    }

    /// The next probe that the node sends, within a second.
    Probe nextProbe()
    {
        for (int tick = 0; tick < 20; ++tick, now += std::chrono::milliseconds(50)) {
            sink.all.clear();
            node.tick(now, sink);
            for (const Outgoing &outgoing : sink.all) {
                if (const auto *probe = std::get_if<Probe>(&outgoing.message)) {
                    return *probe;
                }
            }
        }
        BOOST_FAIL("no probe within a second");
        return {};
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(Detecting, OneNode)

BOOST_AUTO_TEST_CASE(answerByAnotherIncarnationProvesTheReplacement)
{
    hear(2, Gossip{bodyFrom(2, "a2")});
    const Probe probe = nextProbe();
    BOOST_TEST(probe.target.value == 2U);
    hear(3, Ack{probe.nonce, {3}, bodyFrom(3, "a2")});
    BOOST_TEST((stateOf(2) == MemberState::Dead));
    BOOST_TEST((stateOf(3) == MemberState::Alive));
}

BOOST_AUTO_TEST_CASE(recordThatNamesAnAddressProvesNothing)
{
    hear(2, Gossip{bodyFrom(2, "a2")});
    hear(3, Gossip{bodyFrom(3, "a2")});
    BOOST_TEST((stateOf(2) == MemberState::Alive));
    hear(3, Ack{12'345, {3}, bodyFrom(3, "a2")});
    BOOST_TEST((stateOf(2) == MemberState::Alive), "nor does an answer to no open question");
}

BOOST_AUTO_TEST_CASE(earlierHolderOfTheOwnAddressIsDead)
{
    GossipBody body = bodyFrom(2, "a2");
    body.updates.push_back(bodyFrom(5, "a1").sender);
    hear(2, Gossip{body});
    BOOST_TEST((stateOf(5) == MemberState::Dead));
}

BOOST_AUTO_TEST_CASE(liveSenderIsToldThatItIsTakenForDead)
{
    hearDeath(2, "a2");
    hear(2, Gossip{bodyFrom(2, "a2")});
    BOOST_TEST(told("a2", 2, MemberState::Dead));
    BOOST_TEST((stateOf(2) == MemberState::Dead), "a message alone does not revive");
    hear(2, Gossip{bodyFrom(2, "a2", 2)});
    BOOST_TEST((stateOf(2) == MemberState::Alive), "the higher status number does");
}

BOOST_AUTO_TEST_CASE(reportAboutSelfIsRefutedWithAHigherNumber)
{
    hear(2, Gossip{bodyFrom(2, "a2")});
    sink.all.clear();
    hearDeath(1, "a1");
    BOOST_TEST((stateOf(1) == MemberState::Alive));
    BOOST_TEST(node.table().find({1})->status.statusNumber == 2U);
    BOOST_TEST(bodyOf(sink.all.at(0).message).sender.status.statusNumber == 2U, "the informer learns it at once");
}

BOOST_AUTO_TEST_CASE(messageInAnothersNameIsIgnored)
{
    hear(3, Gossip{bodyFrom(2, "a2")});
    BOOST_TEST(node.table().entries().size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
