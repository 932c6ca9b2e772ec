// Tests of the answers to other instances that follow this one.

#include "trefoilstile/proxy/feed_server.hpp"

#include <boost/test/unit_test.hpp>

#include "trefoilstile/peer/feed_rows.hpp"

namespace trefoilstile::proxy
{

namespace
{

using namespace std::chrono_literals;

constexpr base::TimePoint s_start = base::TimePoint(100s);

std::size_t rowsOf(const peer::FeedResponse &response)
{
    return peer::decodeFeedRows(response.rows).value().size();
}

/// Server of one table, and the responses that it has sent.
struct ServerFixture {
    ServerFixture()
    {
        copy.apply({{"a", "1", {1, 3}, false}, {"b", "1", {1, 4}, false}}, {1, 5}, true);
        server.addTable("servers",
            {copy,
                [this] {
                    return readsStore;
                },
                [this] {
                    return storeAvailable;
                }});
    }

    void ask(std::uint64_t version, base::Duration wait, bool believesAvailable = true)
    {
        peer::FeedRequest request{"servers", {1, version}, false, wait, believesAvailable};
        server.handle(
            request,
            [this](peer::FeedResponse response) {
                responses.push_back(std::move(response));
            },
            s_start);
    }

    feed::TableCopy copy;
    bool readsStore = true;
    bool storeAvailable = true;
    FeedServer server;
    std::vector<peer::FeedResponse> responses;
};

} // namespace

BOOST_AUTO_TEST_SUITE(FeedServerSuite)

// Guards against a change that a waiting follower gets only at the end of its wait, and against an answer for nothing.
BOOST_AUTO_TEST_CASE(waitingFollowerGetsTheChangeAtOnce)
{
    ServerFixture fixture;
    fixture.ask(5, 600ms);
    fixture.server.tableChanged("servers");
    BOOST_TEST(fixture.responses.empty());
    fixture.copy.apply({{"a", "2", {1, 8}, false}}, {1, 8}, false);
    fixture.server.tableChanged("servers");
    BOOST_REQUIRE(fixture.responses.size() == 1U);
    BOOST_TEST(rowsOf(fixture.responses[0]) == 1U);
    BOOST_TEST(fixture.responses[0].position == feed::Position(1, 8));
    fixture.server.advance(s_start + 10s);
    BOOST_TEST(fixture.responses.size() == 1U);
}

// Guards against a follower that cannot tell a reader without news from one that has stopped.
BOOST_AUTO_TEST_CASE(answerComesAtTheEndOfTheWait)
{
    ServerFixture fixture;
    fixture.ask(5, 600ms);
    fixture.server.advance(s_start + 599ms);
    BOOST_TEST(fixture.responses.empty());
    fixture.server.advance(s_start + 600ms);
    BOOST_REQUIRE(fixture.responses.size() == 1U);
    BOOST_TEST((fixture.responses[0].status == peer::FeedStatus::Changes));
    BOOST_TEST(fixture.server.waiting() == 0U);
}

// Guards against instances that follow each other in a circle, without any of them reading the store.
BOOST_AUTO_TEST_CASE(instanceThatDoesNotReadTheStoreIsNotFollowed)
{
    ServerFixture fixture;
    fixture.readsStore = false;
    fixture.ask(5, 600ms);
    BOOST_REQUIRE(fixture.responses.size() == 1U);
    BOOST_TEST((fixture.responses[0].status == peer::FeedStatus::NotReader));
    fixture.ask(3, 0ms); // a single question, to catch up or at the start
    BOOST_TEST((fixture.responses[1].status == peer::FeedStatus::Changes));
    BOOST_TEST(rowsOf(fixture.responses[1]) == 1U);
    fixture.readsStore = true;
    fixture.ask(5, 600ms);
    fixture.readsStore = false;
    fixture.server.advance(s_start + 600ms);
    BOOST_TEST((fixture.responses[2].status == peer::FeedStatus::NotReader));
}

// Guards against followers that learn of an outage of the store, or of its end, with the next change only.
BOOST_AUTO_TEST_CASE(availabilityOfTheStoreIsNews)
{
    ServerFixture fixture;
    fixture.ask(5, 600ms);
    fixture.storeAvailable = false;
    fixture.server.tableChanged("servers");
    BOOST_REQUIRE(fixture.responses.size() == 1U);
    BOOST_TEST(!fixture.responses[0].storeAvailable);
    fixture.ask(5, 600ms, false);
    BOOST_TEST(fixture.responses.size() == 1U);
}

// Guards against an empty table that is passed on as a complete one, and against an unknown table.
BOOST_AUTO_TEST_CASE(incompleteAndUnknownTablesAreNotServed)
{
    ServerFixture fixture;
    fixture.copy = feed::TableCopy();
    fixture.ask(0, 0ms);
    BOOST_REQUIRE(fixture.responses.size() == 1U);
    BOOST_TEST((fixture.responses[0].status == peer::FeedStatus::NotReady));
    fixture.server.handle(
        {"other", {}, false, 0ms, true},
        [&fixture](peer::FeedResponse response) {
            fixture.responses.push_back(std::move(response));
        },
        s_start);
    BOOST_TEST((fixture.responses[1].status == peer::FeedStatus::NotReader));
}

// Guards against requests that are held back without limit.
BOOST_AUTO_TEST_CASE(waitingRequestsAreBounded)
{
    ServerFixture fixture;
    FeedServerOptions options;
    options.maximumWaiting = 2;
    FeedServer server(options);
    server.addTable("servers",
        {fixture.copy,
            [] {
                return true;
            },
            [] {
                return true;
            }});
    int refused = 0;
    for (int i = 0; i < 5; ++i) {
        server.handle(
            {"servers", {1, 5}, false, 1h, true},
            [&refused](const peer::FeedResponse &response) {
                refused += response.status == peer::FeedStatus::NotReader ? 1 : 0;
            },
            s_start);
    }
    BOOST_TEST(server.waiting() == 2U);
    BOOST_TEST(refused == 3);
    server.advance(s_start + options.maximumWait);
    BOOST_TEST(server.waiting() == 0U);
}

// Guards against an old answer that is given again after a change, and against one for another version or table.
BOOST_AUTO_TEST_CASE(keptAnswersFollowTheTable)
{
    ServerFixture fixture;
    fixture.ask(0, 0ms);
    fixture.ask(0, 0ms);
    BOOST_TEST(rowsOf(fixture.responses[1]) == 2U);
    fixture.ask(3, 0ms);
    BOOST_TEST(rowsOf(fixture.responses[2]) == 1U);
    fixture.copy.apply({{"c", "1", {1, 7}, false}}, {1, 7}, false);
    fixture.ask(0, 0ms);
    BOOST_TEST(rowsOf(fixture.responses[3]) == 3U);
    fixture.storeAvailable = false;
    fixture.ask(0, 0ms);
    BOOST_TEST(!fixture.responses[4].storeAvailable);
    for (std::uint64_t after = 0; after < 20; ++after) {
        fixture.ask(after, 0ms);
    }
    fixture.ask(0, 0ms);
    BOOST_TEST(rowsOf(fixture.responses.back()) == 3U);
}

// Guards against followers that take rows which are kept from an earlier era for rows of the new one, and against a wait for the next change
// after the store has begun a new era.
BOOST_AUTO_TEST_CASE(newEraIsNewsAndRowsNameTheirOwn)
{
    ServerFixture fixture;
    feed::TableCopyOptions options;
    options.keepMissing = true;
    fixture.copy = feed::TableCopy(options);
    fixture.copy.apply({{"a", "1", {1, 3}, false}, {"b", "1", {1, 4}, false}}, {1, 5}, true);
    fixture.ask(5, 600ms);
    fixture.copy.apply({{"a", "1", {2, 3}, false}}, {2, 3}, true); // "b" has been lost by the store
    fixture.server.tableChanged("servers");
    BOOST_REQUIRE(fixture.responses.size() == 1U);
    BOOST_TEST(fixture.responses[0].position == feed::Position(2, 3));
    fixture.server.handle(
        {"servers", {}, true, 0ms, true},
        [&fixture](peer::FeedResponse response) {
            fixture.responses.push_back(std::move(response));
        },
        s_start);
    const auto rows = peer::decodeFeedRows(fixture.responses[1].rows).value();
    BOOST_REQUIRE(rows.size() == 2U);
    BOOST_TEST((rows[0].key == "b" && rows[0].era == 1U));
    BOOST_TEST((rows[1].key == "a" && !rows[1].era.has_value()));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace trefoilstile::proxy
