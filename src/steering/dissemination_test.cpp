// Guards against a node that fetches from nobody, from everybody at once, or accepts a body that is not the document.

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

/// A node in a failure domain of three, of which it is no poller.
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
            if (!PollerChoice(member, "bkk-a").isPoller(members)) {
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

BOOST_FIXTURE_TEST_SUITE(Disseminating, Fixture)

BOOST_AUTO_TEST_CASE(fetchesFromAnnouncerThenFromAnotherAfterTimeout)
{
    announce(1, 5, "five");
    announce(2, 5, "five");
    run(s_short);
    const auto first = sink.take<FetchDocument>();
    BOOST_TEST(first.size() == 1U);
    run(s_long);
    const auto second = sink.take<FetchDocument>();
    BOOST_TEST(second.size() == 1U);
    BOOST_TEST((second.front().source.peer != first.front().source.peer), "a peer that did not answer is not asked again at once");
    node.documentFetched(first.front().fetch, FetchResult::Found, "five", now, sink);
    BOOST_TEST(sink.take<DocumentReady>().empty(), "the answer to a fetch given up does not count");
    node.documentFetched(second.front().fetch, FetchResult::Found, "five", now, sink);
    BOOST_TEST(sink.take<DocumentReady>().size() == 1U);
    BOOST_TEST(!node.holder().hasDocument());
    node.documentInEffect({{5}, "hash of five"}, now);
    BOOST_TEST(node.holder().announcement().document.generation.value == 5U);
    run(s_long);
    BOOST_TEST(sink.take<FetchDocument>().empty());
}

BOOST_AUTO_TEST_CASE(bodyWithAnotherHashIsNotHandedOver)
{
    announce(1, 5, "five");
    run(s_short);
    node.documentFetched(sink.take<FetchDocument>().at(0).fetch, FetchResult::Found, "forged", now, sink);
    BOOST_TEST(sink.take<DocumentReady>().empty());
    announce(2, 5, "five");
    run(s_short);
    BOOST_TEST(sink.take<FetchDocument>().at(0).source.peer.value == 2U);
}

BOOST_AUTO_TEST_CASE(lowerGenerationIsFetchedWhileTheHigherOneIsOutOfReach)
{
    announce(1, 9, "nine");
    announce(2, 5, "five");
    run(s_short);
    const auto highest = sink.take<FetchDocument>();
    BOOST_TEST(highest.at(0).version.generation.value == 9U);
    node.documentFetched(highest.at(0).fetch, FetchResult::Failed, {}, now, sink);
    BOOST_TEST(sink.take<FetchDocument>().at(0).version.generation.value == 5U);
}

BOOST_AUTO_TEST_CASE(refusedDocumentIsNotFetchedAgainAndRaisesAnAlarm)
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

BOOST_AUTO_TEST_CASE(startsFromTheStoreWithoutPeersAndSaysWhyItIsNotReady)
{
    BOOST_TEST(node.notReadyReason() == "the store has not answered, and no peer has been heard");
    run(s_short);
    const auto poll = sink.take<ReadStore>();
    BOOST_TEST(poll.size() == 1U, "a node without a document asks the store though it is no poller");
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
    BOOST_TEST(sink.take<ReadStore>().empty(), "with a document in effect only pollers ask the store");
}

BOOST_AUTO_TEST_CASE(slowStoreIsNotAskedWithoutBound)
{
    run(std::chrono::seconds(9));
    BOOST_TEST(sink.take<ReadStore>().size() <= 3U);
}

BOOST_AUTO_TEST_CASE(drainsComeFromAPeerWithAHigherGeneration)
{
    announce(1, 0, "", 3);
    const auto fetch = sink.take<FetchDrains>();
    BOOST_TEST(fetch.size() == 1U);
    node.drainsFetched(fetch.front().fetch, FetchResult::Found, {2}, "old", now, sink);
    BOOST_TEST(sink.take<DrainsReady>().empty(), "a list older than announced is not taken");
    run(s_short * 2);
    node.drainsFetched(sink.take<FetchDrains>().at(0).fetch, FetchResult::Found, {4}, "new", now, sink);
    BOOST_TEST(sink.take<DrainsReady>().at(0).generation.value == 4U);
    BOOST_TEST(node.holder().announcement().drains.value == 4U);
}

BOOST_AUTO_TEST_SUITE_END()
