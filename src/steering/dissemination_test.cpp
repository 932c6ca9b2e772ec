// Tests that a node fetches from available sources one at a time and rejects bodies with a wrong hash.

#include "trefoilstile/steering/dissemination.hpp"

#include <boost/test/unit_test.hpp>

using namespace trefoilstile;
using namespace trefoilstile::steering;

namespace
{

struct Commands {
    std::vector<Command> all;

    void command(Command command)
    {
        all.push_back(std::move(command));
    }

    template<typename T>
    std::vector<T> take()
    {
        std::vector<T> found;
        for (const Command &command : all) {
            if (const auto *wanted = std::get_if<T>(&command)) {
                found.push_back(*wanted);
            }
        }
        all.clear();
        return found;
    }
};

/// A node in a failure domain of three members in which it is not a poller.
struct Fixture {
    Commands sink;
    base::TimePoint now{std::chrono::hours(1)};
    base::SplitMix64 random{1};
    std::vector<base::IncarnationId> alive;
    Dissemination node;

    Fixture()
        : alive(members())
        , node(
              {},
              nonPoller(alive),
              "bkk-a",
              [](std::string_view body) {
                  return "hash of " + std::string(body);
              },
              random)
    {
    }

    static std::vector<base::IncarnationId> members()
    {
        return {{11}, {12}, {13}};
    }

    static base::IncarnationId nonPoller(const std::vector<base::IncarnationId> &members)
    {
        for (const base::IncarnationId member : members) {
            if (!PollerSelector(member, "bkk-a").isPoller(members)) {
                return member;
            }
        }
        return {};
    }

    void run(base::Duration span)
    {
        for (const base::TimePoint end = now + span; now < end; now += std::chrono::milliseconds(50)) {
            node.tick(alive, now, sink);
        }
    }

    void announce(std::uint64_t peer, std::uint64_t generation, const std::string &body, std::uint64_t drains = 0)
    {
        node.peerAnnounced({peer}, "10.0.0." + std::to_string(peer), {{{generation}, "hash of " + body}, {drains}}, now, sink);
    }
};

constexpr base::Duration s_short = std::chrono::milliseconds(200);
constexpr base::Duration s_long = std::chrono::milliseconds(1'300);

} // namespace

BOOST_FIXTURE_TEST_SUITE(DisseminationOfOneNode, Fixture)

// A peer that announces a version but does not answer must not block the fetch, and its late answer must not be used.
BOOST_AUTO_TEST_CASE(fetchIsRetriedFromAnotherPeerAfterTimeout)
{
    announce(1, 5, "five");
    announce(2, 5, "five");
    run(s_short);
    const auto first = sink.take<FetchDocument>();
    BOOST_TEST(first.size() == 1U);
    run(s_long);
    const auto second = sink.take<FetchDocument>();
    BOOST_TEST(second.size() == 1U);
    BOOST_TEST((second.front().source.peer != first.front().source.peer), "a peer that did not answer is not retried immediately");
    node.documentFetched(first.front().fetch, FetchResult::Found, "five", now, sink);
    BOOST_TEST(sink.take<DocumentReady>().empty(), "the answer to an expired fetch is ignored");
    node.documentFetched(second.front().fetch, FetchResult::Found, "five", now, sink);
    BOOST_TEST(sink.take<DocumentReady>().size() == 1U);
    BOOST_TEST(!node.holder().hasDocument());
    node.documentInEffect({{5}, "hash of five"}, now);
    BOOST_TEST(node.holder().announcement().document.generation.value == 5U);
    run(s_long);
    BOOST_TEST(sink.take<FetchDocument>().empty());
}

// A faulty peer may send a body that is not the announced document.
BOOST_AUTO_TEST_CASE(bodyWithWrongHashIsRejected)
{
    announce(1, 5, "five");
    run(s_short);
    node.documentFetched(sink.take<FetchDocument>().at(0).fetch, FetchResult::Found, "forged", now, sink);
    BOOST_TEST(sink.take<DocumentReady>().empty());
    announce(2, 5, "five");
    run(s_short);
    BOOST_TEST(sink.take<FetchDocument>().at(0).source.peer.value == 2U);
}

// If the only source of the highest generation fails, a node must not stay on an even older document.
BOOST_AUTO_TEST_CASE(lowerGenerationIsFetchedIfFetchOfHigherFails)
{
    announce(1, 9, "nine");
    announce(2, 5, "five");
    run(s_short);
    const auto highest = sink.take<FetchDocument>();
    BOOST_TEST(highest.at(0).version.generation.value == 9U);
    node.documentFetched(highest.at(0).fetch, FetchResult::Failed, {}, now, sink);
    BOOST_TEST(sink.take<FetchDocument>().at(0).version.generation.value == 5U);
}

// A document that this build cannot parse would otherwise be fetched in an endless loop, unnoticed by operators.
BOOST_AUTO_TEST_CASE(refusedDocumentIsNotFetchedAgainAndRaisesAlarm)
{
    announce(1, 5, "five");
    run(s_short);
    node.documentFetched(sink.take<FetchDocument>().at(0).fetch, FetchResult::Found, "five", now, sink);
    node.documentRefused({{5}, "hash of five"}, now);
    run(s_long);
    BOOST_TEST(sink.take<FetchDocument>().empty());
    BOOST_TEST(node.alarms().at(0).name == s_documentRefused);
    BOOST_TEST(node.notReadyReason() == "document generation 5 cannot be used");
    node.documentInEffect({{6}, "hash of six"}, now);
    BOOST_TEST(node.alarms().empty());
}

// In a cold start no peer has a document, so a node that waits for pollers or peers would never become ready.
BOOST_AUTO_TEST_CASE(startsFromStoreWithoutPeersAndReportsNotReadyReason)
{
    BOOST_TEST(node.notReadyReason() == "the store has not answered, and no peer has been heard");
    run(s_short);
    const auto poll = sink.take<ReadStore>();
    BOOST_TEST(poll.size() == 1U, "a node without a document polls the store although it is not a poller");
    node.storeAnswered(poll.front().poll, {{{5}, "hash of five"}, {2}, "drains"}, now, sink);
    BOOST_TEST(std::get<DrainsReady>(sink.all.at(1)).body == "drains");
    const auto fetch = sink.take<FetchDocument>();
    BOOST_TEST(fetch.at(0).source.isStore());
    BOOST_TEST(node.notReadyReason() == "document generation 5 is being fetched");
    node.documentFetched(fetch.at(0).fetch, FetchResult::Found, "five", now, sink);
    node.documentInEffect({{5}, "hash of five"}, now);
    BOOST_TEST(node.notReadyReason().empty());
    sink.all.clear();
    run(std::chrono::seconds(10));
    BOOST_TEST(sink.take<ReadStore>().empty(), "with a document in effect only pollers poll the store");
}

// A store that does not answer must not accumulate an unlimited number of polls.
BOOST_AUTO_TEST_CASE(outstandingPollsAreBounded)
{
    run(std::chrono::seconds(9));
    BOOST_TEST(sink.take<ReadStore>().size() <= 3U);
}

// A peer may return an older drain list than it announced; such a list must not be adopted, and the fetch must be retried.
BOOST_AUTO_TEST_CASE(drainsAreFetchedFromPeerWithHigherGeneration)
{
    announce(1, 0, "", 3);
    const auto fetch = sink.take<FetchDrains>();
    BOOST_TEST(fetch.size() == 1U);
    node.drainsFetched(fetch.front().fetch, FetchResult::Found, {2}, "old", now, sink);
    BOOST_TEST(sink.take<DrainsReady>().empty(), "a list older than announced is not adopted");
    run(s_short * 2);
    node.drainsFetched(sink.take<FetchDrains>().at(0).fetch, FetchResult::Found, {4}, "new", now, sink);
    BOOST_TEST(sink.take<DrainsReady>().at(0).generation.value == 4U);
    BOOST_TEST(node.holder().announcement().drains.value == 4U);
}

BOOST_AUTO_TEST_SUITE_END()
