// Tests of following a table of the store, with a scripted store.

#include "trefoilstile/proxy/table_watch.hpp"

#include <deque>
#include <stdexcept>
#include <string>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/test/unit_test.hpp>

namespace trefoilstile::proxy
{

namespace
{

using namespace std::chrono_literals;

/// Returns prepared results in order, then stops the event loop. Records the requests.
struct ScriptedStore {
    boost::asio::io_context &context;
    std::deque<StoreResult> results;
    std::vector<std::string> requests;
    std::vector<base::Duration> waits; ///< of the reads of changes

    boost::asio::awaitable<StoreResult> next(std::string request)
    {
        requests.push_back(std::move(request));
        if (results.empty()) {
            context.stop();
            co_return StoreResult{};
        }
        StoreResult result = std::move(results.front());
        results.pop_front();
        co_return result;
    }

    boost::asio::awaitable<StoreResult> readAll(std::string)
    {
        return next("all");
    }
    boost::asio::awaitable<StoreResult> readChanges(std::string, feed::Position after, base::Duration wait)
    {
        waits.push_back(wait);
        return next((wait == base::Duration::zero() ? "at once after " : "after ") + std::to_string(after.version));
    }
    boost::asio::awaitable<StoreResult> create(std::string, std::vector<NewRow>)
    {
        return next("write");
    }
    boost::asio::awaitable<StoreResult> write(std::string, std::string, std::string)
    {
        return next("write");
    }
};

struct Recorder {
    std::vector<std::string> events;

    void rowChanged(const StoreRow &row)
    {
        if (row.value == "odd") {
            throw std::runtime_error("odd row");
        }
        events.push_back((row.removed ? "-" : "+") + row.key);
    }
    void tableRead()
    {
        events.emplace_back("read");
    }
    void storeLost(std::string_view)
    {
        events.emplace_back("lost");
    }
    void storeRegained()
    {
        events.emplace_back("regained");
    }
};

StoreResult rows(std::uint64_t version, std::vector<StoreRow> changed)
{
    StoreResult result;
    result.status = StoreStatus::Ok;
    result.position = {1, version};
    result.rows = std::move(changed);
    return result;
}

StoreResult failed(StoreStatus status)
{
    StoreResult result;
    result.status = status;
    return result;
}

/// The result as one of a later era, for changes after an earlier one as the router reports them.
StoreResult newEra(std::uint64_t era, std::uint64_t version)
{
    StoreResult result = rows(version, {});
    result.position.era = era;
    return checkedEra(std::move(result), {1, version});
}

/// What a watch reported to its observer and requested from the store.
struct WatchRecord {
    std::vector<std::string> events;
    std::vector<std::string> requests;
    std::vector<base::Duration> waits;
};

/// Runs a watch until the store has returned all results.
WatchRecord runWatch(std::deque<StoreResult> results)
{
    boost::asio::io_context context;
    ScriptedStore store{context, std::move(results), {}, {}};
    Recorder recorder;
    TableWatchOptions options;
    options.coalesceDelay = 1ms;
    options.initialBackoff = 1ms;
    options.maximumBackoff = 2ms;
    TableWatch<ScriptedStore, Recorder> watch(context, store, recorder, "table", 1, options);
    watch.setPollSlot({0, 2});
    boost::asio::co_spawn(
        context,
        [&watch]() -> boost::asio::awaitable<void> {
            for (bool failed = true; failed;) {
                failed = false;
                try {
                    co_await watch.run();
                } catch (const std::runtime_error &) {
                    failed = true; // as an activity is restarted
                }
            }
        },
        boost::asio::detached);
    context.run();
    return {recorder.events, store.requests, store.waits};
}

} // namespace

BOOST_AUTO_TEST_SUITE(TableWatchSuite)

// Guards against changes that are missed between the complete read and the first poll, or between two polls, because a poll
// starts after a wrong version.
BOOST_AUTO_TEST_CASE(changesFollowTheTable)
{
    const WatchRecord record = runWatch({rows(5, {{"a", "1", {1, 3}, false}}), rows(8, {{"b", "1", {1, 7}, false}, {"a", "", {1, 8}, true}})});
    BOOST_TEST((record.events == std::vector<std::string>{"regained", "+a", "read", "+b", "-a", "lost"}));
    BOOST_TEST((record.requests == std::vector<std::string>{"all", "after 5", "after 8"}));
}

// Guards against rows that are kept although they were removed in the part of the history that the store has discarded.
BOOST_AUTO_TEST_CASE(lostHistoryRereadsTheTable)
{
    const WatchRecord record =
        runWatch({rows(5, {{"a", "1", {1, 3}, false}, {"b", "1", {1, 4}, false}}), failed(StoreStatus::HistoryLost), rows(9, {{"b", "1", {1, 4}, false}})});
    const std::vector<std::string> expected{"regained", "+a", "+b", "read", "-a", "read", "lost"}; // "b" has not changed
    BOOST_TEST((record.events == expected));
    BOOST_TEST((record.requests == std::vector<std::string>{"all", "after 5", "all", "after 9"}));
}

// Guards against rows that are reported as removed because the store does not respond, and against a recovery of the store that
// is detected only at the next change because the poll waits for one.
BOOST_AUTO_TEST_CASE(storeOutageKeepsKnownRows)
{
    const WatchRecord record =
        runWatch({rows(5, {{"a", "1", {1, 3}, false}}), failed(StoreStatus::Failed), failed(StoreStatus::Refused), rows(6, {{"c", "1", {1, 6}, false}})});
    BOOST_TEST((record.events == std::vector<std::string>{"regained", "+a", "read", "lost", "regained", "+c", "lost"}));
    BOOST_TEST((record.requests == std::vector<std::string>{"all", "after 5", "at once after 5", "at once after 5", "after 6"}));
}

// Guards against one row that cannot be handled and that ends the following of the table, or hides the rows after it.
BOOST_AUTO_TEST_CASE(rowThatCannotBeHandledDoesNotHideOthers)
{
    const WatchRecord record =
        runWatch({rows(5, {{"a", "odd", {1, 3}, false}, {"b", "1", {1, 4}, false}}), rows(8, {{"c", "odd", {1, 7}, false}, {"d", "1", {1, 8}, false}})});
    BOOST_TEST((record.events == std::vector<std::string>{"regained", "+b", "read", "+d", "lost"}));
    BOOST_TEST((record.requests == std::vector<std::string>{"all", "after 5", "after 8"}));
}

// Guards against an outage that the followed instance reports and that is taken for an available store, and against rows that are not
// applied because of it.
BOOST_AUTO_TEST_CASE(unavailableStoreOfTheFollowedInstanceIsReported)
{
    StoreResult cut = rows(8, {{"b", "1", {1, 7}, false}});
    cut.sourceAvailable = false;
    const WatchRecord record = runWatch({rows(5, {{"a", "1", {1, 3}, false}}), cut, rows(9, {})});
    BOOST_TEST((record.events == std::vector<std::string>{"regained", "+a", "read", "lost", "+b", "regained", "lost"}));
}

// Guards against polls of all instances that end at the same time after an event that all of them got at the same time: a store that is
// silent for a moment would leave all of them without news for the whole poll time.
BOOST_AUTO_TEST_CASE(firstPollAfterAnEventEndsInItsSlot)
{
    const base::Duration whole = feed::PollWaitOptions().longest;
    const base::Duration half = (whole + feed::PollWaitOptions().shortest) / 2;
    const WatchRecord record =
        runWatch({rows(5, {}), rows(5, {}), rows(5, {}), rows(6, {{"a", "1", {1, 6}, false}}), rows(6, {}), failed(StoreStatus::Failed), rows(6, {})});
    BOOST_REQUIRE_EQUAL(record.waits.size(), 7U);
    BOOST_TEST((record.waits[0] < half)); // after the complete read
    BOOST_TEST((record.waits[1] == whole));
    BOOST_TEST((record.waits[2] == whole));
    BOOST_TEST((record.waits[3] < half)); // after changes
    BOOST_TEST((record.waits[4] == whole));
    BOOST_TEST((record.waits[5] == base::Duration::zero()));
    BOOST_TEST((record.waits[6] < half)); // after the return of the store
}

// Guards against an instance that goes on from its position after the store has given versions out again, and against more than one
// complete read for an era.
BOOST_AUTO_TEST_CASE(newEraLeadsToOneCompleteRead)
{
    StoreResult read = rows(3, {{"a", "1", {2, 1}, false}, {"b", "1", {2, 3}, false}});
    read.position.era = 2;
    StoreResult later = rows(4, {{"b", "2", {2, 4}, false}});
    later.position.era = 2;
    const WatchRecord record = runWatch({rows(5, {{"a", "1", {1, 1}, false}, {"c", "1", {1, 5}, false}}), newEra(2, 3), read, later});
    BOOST_TEST((record.events == std::vector<std::string>{"regained", "+a", "+c", "read", "+b", "-c", "read", "+b", "lost"}));
    BOOST_TEST((record.requests == std::vector<std::string>{"all", "after 5", "all", "after 3", "after 4"}));
}

// Guards against a complete read that is answered late, from an earlier era, and takes back what is known.
BOOST_AUTO_TEST_CASE(completeReadOfAnEarlierEraIsRepeated)
{
    StoreResult read = rows(3, {{"a", "2", {2, 3}, false}});
    read.position.era = 2;
    const WatchRecord record =
        runWatch({rows(5, {{"a", "1", {1, 1}, false}}), newEra(2, 3), read, newEra(3, 3), rows(9, {{"a", "0", {1, 9}, false}}), failed(StoreStatus::Failed)});
    BOOST_TEST((record.events == std::vector<std::string>{"regained", "+a", "read", "+a", "read", "lost"}));
    BOOST_TEST((record.requests == std::vector<std::string>{"all", "after 5", "all", "after 3", "all", "all", "all"}));
}

// Guards against a read of changes that is answered from another era and taken for complete.
BOOST_AUTO_TEST_CASE(changesOfAnotherEraAreNotUsed)
{
    const StoreResult same = rows(9, {{"a", "1", {1, 9}, false}});
    BOOST_TEST((checkedEra(same, {1, 5}).status == StoreStatus::Ok));
    BOOST_TEST(checkedEra(same, {1, 5}).rows.size() == 1U);
    BOOST_TEST((checkedEra(same, {0, 5}).status == StoreStatus::HistoryLost));
    BOOST_TEST((checkedEra(same, {2, 5}).status == StoreStatus::Failed));
    BOOST_TEST(checkedEra(same, {2, 5}).rows.empty());
}

// Guards against rows that are kept at the start of an era for good, although nobody writes them again.
BOOST_AUTO_TEST_CASE(keptRowsAreSettledInTime)
{
    boost::asio::io_context context;
    StoreResult read = rows(3, {{"a", "1", {2, 1}, false}});
    read.position.era = 2;
    ScriptedStore store{context, {rows(5, {{"a", "1", {1, 1}, false}, {"c", "1", {1, 5}, false}}), newEra(2, 3), read}, {}, {}};
    Recorder recorder;
    TableWatchOptions options = operatorWatchOptions();
    options.coalesceDelay = 1ms;
    TableWatch<ScriptedStore, Recorder> watch(context, store, recorder, "table", 1, options);
    boost::asio::co_spawn(context, watch.run(), boost::asio::detached);
    context.run();
    BOOST_TEST((recorder.events.back() == "lost"));
    watch.advance(http::now() + options.settleTime - 1s);
    BOOST_TEST((recorder.events.back() == "lost"));
    watch.advance(http::now() + options.settleTime);
    BOOST_TEST((recorder.events.back() == "-c"));
}

// Guards against the same at an instance that starts in the new era and gets a kept row from the reader that it follows.
BOOST_AUTO_TEST_CASE(keptRowsOfAReaderAreSettledInTime)
{
    boost::asio::io_context context;
    StoreResult read = rows(3, {{"c", "1", {1, 5}, false}, {"a", "1", {2, 1}, false}});
    read.position.era = 2;
    ScriptedStore store{context, {read}, {}, {}};
    Recorder recorder;
    const TableWatchOptions options = operatorWatchOptions();
    TableWatch<ScriptedStore, Recorder> watch(context, store, recorder, "table", 1, options);
    boost::asio::co_spawn(context, watch.run(), boost::asio::detached);
    context.run();
    BOOST_TEST((recorder.events == std::vector<std::string>{"regained", "+c", "+a", "read", "lost"}));
    watch.advance(http::now() + options.settleTime);
    BOOST_TEST((recorder.events.back() == "-c"));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace trefoilstile::proxy
