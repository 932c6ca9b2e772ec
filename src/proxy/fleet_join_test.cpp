// Tests of the join of an instance, with a scripted store.

#include "trefoilstile/proxy/fleet_join.hpp"

#include <stdexcept>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>

#include "entry_fixture.hpp"
#include "test_pipe.hpp"

namespace trefoilstile::proxy
{

using namespace testing;

namespace
{

/// Fails as often as told, and then has a key, unless it lacks one, and one other registered instance.
struct ScriptedStore {
    int failures = 0;
    std::string key = "secret"; ///< empty: there is none
    std::vector<std::string> created;
    std::vector<std::string> written;

    boost::asio::awaitable<StoreResult> readAll(std::string table)
    {
        StoreResult result;
        if (failures > 0) {
            --failures;
            result.detail = "store is down";
            co_return result;
        }
        result.status = StoreStatus::Ok;
        if (table == "trefoilstile-keys") {
            if (!key.empty()) {
                result.rows.push_back({"peer-key", key, {}, false});
            }
        } else {
            result.rows.push_back({"other", Registration{"127.0.0.1:7", "east"}.text(), {}, false});
        }
        co_return result;
    }

    boost::asio::awaitable<StoreResult> readChanges(std::string, feed::Position, base::Duration)
    {
        co_return StoreResult{};
    }

    boost::asio::awaitable<StoreResult> create(std::string, std::vector<NewRow> rows)
    {
        StoreResult result;
        result.status = key.empty() ? StoreStatus::Ok : StoreStatus::Conflict;
        if (key.empty()) {
            key = rows.at(0).value;
            created.push_back(key);
        }
        co_return result;
    }

    boost::asio::awaitable<StoreResult> write(std::string, std::string name, std::string)
    {
        written.push_back(name);
        StoreResult result;
        result.status = StoreStatus::Ok;
        co_return result;
    }
};

struct JoinFixture {
    boost::asio::io_context context;
    EntryCore core{context, testSettings(), HeaderNames(), 1};
    ScriptedStore store;
    FleetJoin<ScriptedStore> join{core, store};
    std::vector<JoinedFleet> joined;
};

} // namespace

BOOST_AUTO_TEST_SUITE(FleetJoins)

// Guards against an instance that gives up when the store fails at its start, or that fails to say why it does not join.
BOOST_AUTO_TEST_CASE(failureOfTheStoreIsLoggedAndTriedAgain)
{
    const Pipe pipe;
    JoinFixture fixture;
    fixture.core.log = EventLog({pipe.ends[1]});
    fixture.store.failures = 2; // of the key, then of the register
    fixture.join.start([&fixture](const JoinedFleet &fleet) {
        fixture.joined.push_back(fleet);
    });
    fixture.context.run_for(4s);
    BOOST_REQUIRE_EQUAL(fixture.joined.size(), 1U);
    BOOST_TEST(fixture.joined.front().peerKey == "secret");
    BOOST_REQUIRE_EQUAL(fixture.joined.front().registered.size(), 1U);
    BOOST_TEST(fixture.joined.front().registered.front().name == "other");
    BOOST_TEST((fixture.store.written == std::vector<std::string>{"test"}));
    fixture.core.log.flush();
    const std::string log = pipe.read();
    BOOST_TEST(log.find("\"operation\":\"read_key\",\"error\":\"store is down\"") != std::string::npos, log);
}

// Guards against an instance that makes a key of its own when the store has lost that of the fleet, and so does not understand the others.
BOOST_AUTO_TEST_CASE(missingKeyIsWaitedFor)
{
    JoinFixture fixture;
    fixture.store.key.clear();
    fixture.join.start([&fixture](const JoinedFleet &fleet) {
        fixture.joined.push_back(fleet);
    });
    fixture.context.run_for(1500ms);
    BOOST_TEST(fixture.joined.empty());
    fixture.store.key = "written again";
    fixture.context.run_for(1s);
    BOOST_REQUIRE_EQUAL(fixture.joined.size(), 1U);
    BOOST_TEST(fixture.joined.front().peerKey == "written again");
    BOOST_TEST(fixture.store.created.empty());
}

// Guards against a fleet that waits for good for a key that nobody knows any more, and against a first start that waits at all.
BOOST_AUTO_TEST_CASE(keyThatNobodyWritesIsMade)
{
    for (const bool firstStart : {false, true}) {
        JoinFixture fixture;
        fixture.core.settings.firstStart = firstStart;
        fixture.store.key.clear();
        fixture.join.start([&fixture](const JoinedFleet &fleet) {
            fixture.joined.push_back(fleet);
        });
        fixture.context.run_for(2500ms);
        BOOST_TEST(fixture.store.created.size() == (firstStart ? 1U : 0U));
        fixture.context.run_for(2s);
        BOOST_REQUIRE_EQUAL(fixture.joined.size(), 1U);
        BOOST_TEST((fixture.store.created == std::vector<std::string>{fixture.joined.front().peerKey}));
    }
}

// Guards against an instance that never takes part because an exception ended the completion of its join.
BOOST_AUTO_TEST_CASE(joinWhoseCompletionThrowsIsRepeated)
{
    JoinFixture fixture;
    int calls = 0;
    fixture.join.start([&calls](const JoinedFleet &) {
        if (++calls == 1) {
            throw std::runtime_error("no port is free");
        }
    });
    fixture.context.run_for(3s);
    BOOST_TEST(calls == 2);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace trefoilstile::proxy
