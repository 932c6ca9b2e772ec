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

/// Fails as often as told, and then has a key and one other registered instance.
struct ScriptedStore {
    int failures = 0;
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
            result.rows.push_back({"peer-key", "secret", {}, false});
        } else {
            result.rows.push_back({"other", Registration{"127.0.0.1:7", "east"}.text(), {}, false});
        }
        co_return result;
    }

    boost::asio::awaitable<StoreResult> readChanges(std::string, feed::Position, base::Duration)
    {
        co_return StoreResult{};
    }

    boost::asio::awaitable<StoreResult> create(std::string, std::vector<NewRow>)
    {
        co_return StoreResult{};
    }

    boost::asio::awaitable<StoreResult> write(std::string, std::string key, std::string)
    {
        written.push_back(key);
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
