// Tests of single rules of the failure detector. In a whole fleet a missing rule may stay hidden because other rules compensate
// for it.

#include "trefoilstile/membership/failure_detector.hpp"

#include <algorithm>

#include <boost/test/unit_test.hpp>

using namespace trefoilstile;
using namespace trefoilstile::membership;

namespace
{

struct RecordingSink {
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

struct DetectorFixture {
    base::SplitMix64 random{1};
    base::TimePoint now{std::chrono::hours(1)};
    RecordingSink sink;
    FailureDetector node{{}, {1}, infoAt("a1"), {}, random};

    void receive(std::uint64_t sender, const Message &message)
    {
        node.receive({sender}, message, now, sink);
    }

    MemberState stateOf(std::uint64_t member)
    {
        return node.table().find({member})->status.state;
    }

    void receiveDeathReport(std::uint64_t member, const std::string &address)
    {
        GossipBody body = bodyFrom(9, "a9");
        body.updates.push_back(bodyFrom(member, address).sender);
        body.updates.back().status.state = MemberState::Dead;
        receive(9, Gossip{body});
    }

    bool wasSent(const std::string &address, std::uint64_t member, MemberState state)
    {
        return std::any_of(sink.all.begin(), sink.all.end(), [&](const Outgoing &outgoing) {
            const auto &updates = bodyOf(outgoing.message).updates;
            return outgoing.peerAddress == address && std::any_of(updates.begin(), updates.end(), [&](const MemberUpdate &update) {
                return update.incarnation.value == member && update.status.state == state;
            });
        });
    }

    /// Returns the next probe that the node sends within one second.
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

BOOST_FIXTURE_TEST_SUITE(FailureDetectorRules, DetectorFixture)

// A replaced instance must not stay alive in the table after its address answers with another incarnation.
BOOST_AUTO_TEST_CASE(ackFromAnotherIncarnationDeclaresPreviousHolderDead)
{
    receive(2, Gossip{bodyFrom(2, "a2")});
    const Probe probe = nextProbe();
    BOOST_TEST(probe.target.value == 2U);
    receive(3, Ack{probe.nonce, {3}, bodyFrom(3, "a2")});
    BOOST_TEST((stateOf(2) == MemberState::Dead));
    BOOST_TEST((stateOf(3) == MemberState::Alive));
}

// Delayed gossip or an unsolicited ack with the address of a live member must not declare that member dead.
BOOST_AUTO_TEST_CASE(recordWithSameAddressDoesNotDeclareHolderDead)
{
    receive(2, Gossip{bodyFrom(2, "a2")});
    receive(3, Gossip{bodyFrom(3, "a2")});
    BOOST_TEST((stateOf(2) == MemberState::Alive));
    receive(3, Ack{12'345, {3}, bodyFrom(3, "a2")});
    BOOST_TEST((stateOf(2) == MemberState::Alive), "an ack without an open probe has no effect");
}

// After a restart, gossip still lists the previous process at this address as alive.
BOOST_AUTO_TEST_CASE(previousHolderOfOwnAddressIsDeclaredDead)
{
    GossipBody body = bodyFrom(2, "a2");
    body.updates.push_back(bodyFrom(5, "a1").sender);
    receive(2, Gossip{body});
    BOOST_TEST((stateOf(5) == MemberState::Dead));
}

// A live member listed as dead must be notified: its tombstone may not be disseminated, so it could not refute otherwise.
BOOST_AUTO_TEST_CASE(liveSenderListedAsDeadIsNotified)
{
    receiveDeathReport(2, "a2");
    receive(2, Gossip{bodyFrom(2, "a2")});
    BOOST_TEST(wasSent("a2", 2, MemberState::Dead));
    BOOST_TEST((stateOf(2) == MemberState::Dead), "a message without a higher status number does not revive");
    receive(2, Gossip{bodyFrom(2, "a2", 2)});
    BOOST_TEST((stateOf(2) == MemberState::Alive), "a higher status number revives");
}

// A false death report about this node must be refuted immediately, or other nodes keep it as dead.
BOOST_AUTO_TEST_CASE(deathReportAboutSelfIsRefutedWithHigherStatusNumber)
{
    receive(2, Gossip{bodyFrom(2, "a2")});
    sink.all.clear();
    receiveDeathReport(1, "a1");
    BOOST_TEST((stateOf(1) == MemberState::Alive));
    BOOST_TEST(node.table().find({1})->status.statusNumber == 2U);
    BOOST_TEST(bodyOf(sink.all.at(0).message).sender.status.statusNumber == 2U, "the reporter receives the refutation immediately");
}

// The sender record must match the authenticated envelope, or a member could report in the name of another.
BOOST_AUTO_TEST_CASE(messageWithMismatchedSenderIsIgnored)
{
    receive(3, Gossip{bodyFrom(2, "a2")});
    BOOST_TEST(node.table().entries().size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
