// Tests of reading a table from other instances and from the store, with scripted ones.

#include "trefoilstile/proxy/feed_router.hpp"

#include <map>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/test/unit_test.hpp>

namespace trefoilstile::proxy
{

namespace
{

using namespace std::chrono_literals;

/// Store that records its calls.
struct FakeStore {
    std::vector<std::string> &calls;
    StoreStatus status = StoreStatus::Ok;

    boost::asio::awaitable<StoreResult> readAll(std::string)
    {
        calls.emplace_back("store all");
        co_return StoreResult{status, {}, {1, 9}, {}, true, false};
    }
    boost::asio::awaitable<StoreResult> readChanges(std::string, feed::Position after, base::Duration wait)
    {
        calls.push_back("store after " + std::to_string(after.version) + " wait " + std::to_string(base::toMilliseconds(wait)));
        co_return StoreResult{status, {}, {1, 9}, {}, true, false};
    }
};

feed::SourceOptions withoutTolerance()
{
    feed::SourceOptions options;
    options.outageTolerance = 0ms;
    return options;
}

/// Router with scripted instances; one without a response does not answer.
struct RouterFixture {
    RouterFixture()
        : router(
            context,
            store,
            [this](std::string address, peer::FeedRequest request, base::Duration) {
                return answer(std::move(address), std::move(request));
            },
            FeedTimes(),
            1,
            withoutTolerance())
    {
    }

    boost::asio::awaitable<std::optional<peer::FeedResponse>> answer(std::string address, peer::FeedRequest request)
    {
        toldAvailable = request.storeAvailable;
        calls.push_back(address + " after " + std::to_string(request.after.version) + (request.wait > 0ms ? " waiting" : ""));
        auto &scripted = responses[address];
        if (scripted.empty()) {
            co_return std::nullopt;
        }
        const peer::FeedResponse response = scripted.front();
        if (scripted.size() > 1) {
            scripted.erase(scripted.begin());
        }
        co_return response;
    }

    StoreResult run(boost::asio::awaitable<StoreResult> call)
    {
        StoreResult result;
        boost::asio::co_spawn(
            context,
            [&]() -> boost::asio::awaitable<void> {
                result = co_await std::move(call);
            },
            boost::asio::detached);
        context.restart();
        context.run_for(5s);
        return result;
    }

    boost::asio::io_context context;
    std::vector<std::string> calls;
    bool toldAvailable = true; ///< what the last request to an instance said of the store
    FakeStore store{calls};
    std::map<std::string, std::vector<peer::FeedResponse>> responses;
    FeedRouter<FakeStore> router;
};

peer::FeedResponse changes(std::uint64_t version, const std::vector<peer::FeedRow> &rows, bool more = false, bool storeAvailable = true)
{
    return {peer::FeedStatus::Changes, "servers", {1, version}, more, storeAvailable, peer::encodeFeedRows(rows)};
}

using Calls = std::vector<std::string>;

} // namespace

BOOST_AUTO_TEST_SUITE(FeedRouterSuite)

// Guards against pages that are lost or repeated in a complete read from a reader.
BOOST_AUTO_TEST_CASE(completeReadJoinsThePagesOfAReader)
{
    RouterFixture fixture;
    fixture.router.setReaders(false, {"r1", "r2"});
    fixture.responses["r1"] = {changes(3, {{"a", "1", 3, false}}, true), changes(8, {{"b", "1", 5, false}})};
    const StoreResult result = fixture.run(fixture.router.readAll("servers"));
    BOOST_TEST((result.status == StoreStatus::Ok));
    BOOST_TEST(result.rows.size() == 2U);
    BOOST_TEST(result.position == feed::Position(1, 8));
    BOOST_TEST(result.coalesced);
    BOOST_TEST((fixture.calls == Calls{"r1 after 0", "r1 after 3"}));
    BOOST_TEST(!fixture.router.readsStore());
}

// Guards against a follower that is stuck with a lost reader, and against a version that goes back with the next reader.
BOOST_AUTO_TEST_CASE(lostReaderIsReplacedByTheNextAndThenByTheStore)
{
    RouterFixture fixture;
    fixture.router.setReaders(false, {"r1", "r2"});
    fixture.responses["r2"] = {changes(4, {})};
    StoreResult result = fixture.run(fixture.router.readChanges("servers", {1, 6}, 7s));
    BOOST_TEST(result.position == feed::Position(1, 6)); // the second reader is behind
    BOOST_TEST((fixture.calls == Calls{"r1 after 6", "r2 after 6"}));
    fixture.calls.clear();
    fixture.responses["r2"].clear();
    fixture.run(fixture.router.readChanges("servers", {1, 6}, 7s));
    // The reader that was followed is given its time; the store is asked for less than a reader would.
    BOOST_REQUIRE(!fixture.calls.empty());
    BOOST_TEST(fixture.calls.front() == "r2 after 6 waiting");
    BOOST_TEST(fixture.calls.back() == "store after 6 wait 3000");
    BOOST_TEST(fixture.router.readsStore());
}

// Guards against a reader that waits for other instances, or follows one.
BOOST_AUTO_TEST_CASE(readerReadsTheStore)
{
    RouterFixture fixture;
    fixture.router.setReaders(true, {"r1"});
    fixture.run(fixture.router.readAll("servers"));
    fixture.run(fixture.router.readChanges("servers", {1, 9}, 7s));
    BOOST_TEST((fixture.calls == Calls{"store all", "store after 9 wait 7000"}));
}

// Guards against an outage of the store that followers do not learn of: entries that lapse in it would be removed at once.
BOOST_AUTO_TEST_CASE(outageAtTheReaderIsPassedOn)
{
    RouterFixture fixture;
    fixture.store.status = StoreStatus::Failed;
    fixture.router.setReaders(false, {"r1"});
    fixture.responses["r1"] = {changes(9, {}, false, false)};
    BOOST_TEST(!fixture.run(fixture.router.readChanges("servers", {1, 9}, 7s)).sourceAvailable);
    // The next call tries the store, which does not answer either; after that the reader is followed again.
    BOOST_TEST((fixture.run(fixture.router.readChanges("servers", {1, 9}, 7s)).status == StoreStatus::Failed));
    BOOST_TEST((fixture.run(fixture.router.readChanges("servers", {1, 9}, 7s)).status == StoreStatus::Ok));
    BOOST_TEST(fixture.calls.back().starts_with("r1 after 9"));
}

// Guards against history that a reader has lost and the follower takes for complete.
BOOST_AUTO_TEST_CASE(lostHistoryOfAReaderIsReported)
{
    RouterFixture fixture;
    fixture.router.setReaders(false, {"r1"});
    peer::FeedResponse lost = changes(9, {});
    lost.status = peer::FeedStatus::HistoryLost;
    fixture.responses["r1"] = {lost};
    BOOST_TEST((fixture.run(fixture.router.readChanges("servers", {1, 2}, 7s)).status == StoreStatus::HistoryLost));
}

// Guards against a reader that sends rows which cannot be read, and is followed on.
BOOST_AUTO_TEST_CASE(readerWithMalformedRowsIsLeft)
{
    RouterFixture fixture;
    fixture.router.setReaders(false, {"r1", "r2"});
    peer::FeedResponse malformed = changes(9, {});
    malformed.rows.bytes = "not rows";
    fixture.responses["r1"] = {malformed};
    fixture.responses["r2"] = {changes(9, {{"a", "1", 9, false}})};
    BOOST_TEST(fixture.run(fixture.router.readChanges("servers", {1, 2}, 7s)).rows.size() == 1U);
    BOOST_TEST((fixture.calls == Calls{"r1 after 2", "r2 after 2"}));
}

// Guards against a follower that is held back by a reader which has not noticed the new era of the store.
BOOST_AUTO_TEST_CASE(readerOfAnEarlierEraIsLeft)
{
    RouterFixture fixture;
    fixture.router.setReaders(false, {"r1", "r2"});
    fixture.responses["r1"] = {changes(500, {{"a", "old", 500, false}})};
    fixture.responses["r2"] = {changes(7, {{"a", "new", 7, false}})};
    fixture.responses["r2"].front().position.era = 2;
    const StoreResult behind = fixture.run(fixture.router.readChanges("servers", {2, 6}, 7s));
    BOOST_TEST(!behind.sourceAvailable);
    BOOST_TEST(behind.position == feed::Position(2, 6));
    BOOST_TEST(behind.rows.at(0).position == feed::Position(1, 500)); // below what the follower has
    const StoreResult result = fixture.run(fixture.router.readChanges("servers", {2, 6}, 7s));
    BOOST_TEST(result.position == feed::Position(2, 7));
    BOOST_TEST(result.rows.at(0).position == feed::Position(2, 7));
    BOOST_TEST((fixture.calls == Calls{"r1 after 6", "r2 after 6"}));
    // A reader answers at once if it knows better whether the store is there.
    BOOST_TEST(fixture.toldAvailable);
}

// Guards against changes of a new era of the store that a reader takes for all changes since its position.
BOOST_AUTO_TEST_CASE(newEraOfTheStoreIsLostHistory)
{
    RouterFixture fixture; // its store is in era 1
    fixture.router.setReaders(true, {});
    BOOST_TEST((fixture.run(fixture.router.readChanges("servers", {0, 3}, 7s)).status == StoreStatus::HistoryLost));
    BOOST_TEST((fixture.run(fixture.router.readChanges("servers", {2, 3}, 7s)).status == StoreStatus::Failed));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace trefoilstile::proxy
