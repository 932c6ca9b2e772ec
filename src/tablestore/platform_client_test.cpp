// Tests of the platform client: the reported outcome of writes, and the limits on requests to a failing platform.

#include "trefoilstile/tablestore/platform_client.hpp"

#include <boost/test/unit_test.hpp>

#include "scripted_server.hpp"
#include "trefoilstile/tablestore/document_store.hpp"

using namespace trefoilstile::tablestore;
using testing::response;
using testing::ScriptedServer;
using testing::Step;
using trefoilstile::base::TimePoint;
using namespace std::chrono_literals;

namespace
{

/// Time limits that a slow machine does not reach.
const HttpOptions s_longTimeouts{.connectTimeout = 1h, .readTimeout = 1h, .totalTimeout = 1h, .maximumIdle = 1h};

/// Client of a scripted server, with a clock that the test sets.
struct Setup {
    ScriptedServer server;
    TimePoint now;
    PlatformClient client;

    explicit Setup(std::vector<Step> steps, PlatformClientOptions options = {.http = s_longTimeouts})
        : server(std::move(steps))
        , client(
              withPort(std::move(options), server.port()),
              [this] {
                  return now;
              },
              1)
    {
    }

    static PlatformClientOptions withPort(PlatformClientOptions options, std::uint16_t port)
    {
        options.endpoint = {"127.0.0.1", port};
        return options;
    }
};

const Step s_closed{"", Step::End::Close};

} // namespace

BOOST_AUTO_TEST_SUITE(PlatformClients)

// Guards against wrong paths, an unescaped key, and a conflict or a missing row that is reported as an error.
BOOST_AUTO_TEST_CASE(readsAndWritesRows)
{
    Setup setup({{response(200, R"({"version":7,"value":{"a":1}})")},
        {response(404, "{}")},
        {response(200, R"({"version":8})")},
        {response(409, R"({"version":9,"value":{"b":2}})")},
        {response(200, R"([{"key":"a/b","version":1,"value":3}])")},
        {response(200, R"({"version":0})")}});
    BOOST_TEST((setup.client.readRow("t", "a/b", {}) == Row{7, R"({"a":1})"}));
    BOOST_TEST(setup.client.readRow("t", "k", {}).version == 0U);
    BOOST_TEST(setup.client.writeRow("t", "k", 7, "{}", {}).row.version == 8U);
    const WriteResult conflict = setup.client.writeRow("t", "k", 7, "{}", {});
    BOOST_TEST(!conflict.applied);
    BOOST_TEST((conflict.row == Row{9, R"({"b":2})"}));
    BOOST_TEST(setup.client.listRows("t", "a/", {}).at(0).key == "a/b");
    BOOST_TEST(setup.client.removeRow("t", "k", 7, {}).applied);
    const auto requests = setup.server.requests();
    BOOST_TEST(requests[0].starts_with("GET /tables/t/rows/a%2Fb HTTP/1.1\r\n"));
    BOOST_TEST(requests[4].starts_with("GET /tables/t/rows?prefix=a%2F HTTP/1.1\r\n"));
    BOOST_TEST(requests[5].starts_with("DELETE /tables/t/rows/k HTTP/1.1\r\n"));
}

// Guards against a missing object that is reported as an error, and an unknown element that makes the list unreadable.
BOOST_AUTO_TEST_CASE(readsObjectsAndInstances)
{
    Setup setup({{response(200, "{}")},
        {response(200, "bytes")},
        {response(404, "")},
        {response(200,
            R"([{"name":"e1","kind":"entry","failure_domain":"a","address":"127.0.0.1:1","incarnation":"00000000000000ff","state":"leaving"},{"kind":"?"}])")}});
    setup.client.writeObject("h", "bytes", {});
    BOOST_TEST(*setup.client.readObject("h", {}) == "bytes");
    BOOST_TEST(!setup.client.readObject("h", {}).has_value());
    const auto listed = setup.client.instances({Purpose::Statistics});
    BOOST_REQUIRE(listed.size() == 1U);
    BOOST_TEST(listed[0].incarnation.value == 255U);
    BOOST_TEST(listed[0].leaving);
}

// A write that may have taken effect must not be reported as not done: every error except an explicit rejection or a
// failure before anything was sent is `OutcomeUnknown`.
BOOST_AUTO_TEST_CASE(outcomesOfWrites)
{
    const auto write = [](Step step, const HttpOptions &http = s_longTimeouts) {
        Setup setup({std::move(step)}, {.http = http});
        setup.client.writeRow("t", "k", 0, "{}", {});
    };
    BOOST_CHECK_THROW(write({response(429, "")}), Throttled);
    BOOST_CHECK_THROW(write({response(400, "")}), Unavailable);
    BOOST_CHECK_THROW(write({response(503, "")}), OutcomeUnknown);
    BOOST_CHECK_THROW(write({response(200, "{")}), OutcomeUnknown);
    BOOST_CHECK_THROW(write({"", Step::End::Close}), OutcomeUnknown);
    BOOST_CHECK_THROW(write({"", Step::End::Hang}, {.connectTimeout = 1h, .readTimeout = 20ms, .totalTimeout = 1h}), OutcomeUnknown);
    BOOST_CHECK_THROW(write({"HTTP/1.1 200 OK\r\nContent-Length: 13\r\n\r\n{\"ver", Step::End::Close}), OutcomeUnknown);
    PlatformClient refused(
        Setup::withPort({}, ScriptedServer({}).port()),
        [] {
            return TimePoint();
        },
        1);
    BOOST_CHECK_THROW(refused.writeRow("t", "k", 0, "{}", {}), Unavailable);
}

// Without the breaker, a failing platform would get every request; without the probe, the client would never recover.
BOOST_AUTO_TEST_CASE(breakerStopsAndProbes)
{
    Setup setup({s_closed, s_closed, s_closed, s_closed, {response(404, "")}, {response(404, "")}}, {.http = s_longTimeouts, .breaker = {.failuresToOpen = 2}});
    BOOST_CHECK_THROW(setup.client.readRow("t", "k", {}), Unavailable);
    BOOST_CHECK_THROW(setup.client.readRow("t", "k", {}), Unavailable);
    BOOST_TEST((setup.client.breakerState() == BreakerState::Open));
    BOOST_CHECK_THROW(setup.client.readRow("t", "k", {}), Throttled);
    BOOST_TEST(setup.server.requests().size() == 4U);
    setup.now += 10s;
    BOOST_TEST(setup.client.readRow("t", "k", {}).version == 0U);
    BOOST_TEST((setup.client.breakerState() == BreakerState::Closed));
}

// If the budget rejects a probe, the breaker must not wait for its outcome, which would never be recorded.
BOOST_AUTO_TEST_CASE(budgetsDoNotBlockTheBreaker)
{
    PlatformClientOptions options{.http = s_longTimeouts, .breaker = {.failuresToOpen = 1}};
    options.budgets.rates[0] = {{{1, 1}, {0, 0}, {0, 0}}};
    Setup setup({s_closed, s_closed, {response(404, "")}}, options);
    BOOST_CHECK_THROW(setup.client.readRow("t", "k", {}), Unavailable);
    setup.now += 999ms;
    BOOST_CHECK_THROW(setup.client.readRow("t", "k", {}), Throttled);
    BOOST_CHECK_THROW(setup.client.readRow("t", "k", {Purpose::Claims}), Throttled);
    BOOST_TEST(setup.server.requests().size() == 2U);
    setup.now += 1ms;
    BOOST_TEST(setup.client.readRow("t", "k", {}).version == 0U);
}

// The time-out of a claim with little time left must not open the breaker, which would stop the polling of documents.
BOOST_AUTO_TEST_CASE(shortDeadlinesDoNotOpenTheBreaker)
{
    Setup setup({{"", Step::End::Hang}}, {.breaker = {.failuresToOpen = 1}});
    BOOST_CHECK_THROW(setup.client.writeRow("t", "k", 0, "{}", {Purpose::Claims, setup.now + 200ms}), PlatformError);
    BOOST_TEST((setup.client.breakerState() == BreakerState::Closed));
    BOOST_CHECK_THROW(setup.client.readRow("t", "k", {Purpose::Claims, setup.now}), Unavailable);
}

// A submission over HTTP whose answer is lost must not be reported as failed: the row is read back to determine the outcome.
BOOST_AUTO_TEST_CASE(settlesOverHttp)
{
    const std::string row = R"({"version":1,"value":{"generation":1,"hash":"x","submission":"s","history":[{"generation":1,"submission":"s"}]}})";
    Setup setup({{response(404, "")}, {response(200, "{}")}, s_closed, {response(200, row)}});
    const SubmitResult result = DocumentStore(setup.client).submit({"trial", "s", "bytes", ""});
    BOOST_TEST(std::holds_alternative<Accepted>(result));
}

BOOST_AUTO_TEST_SUITE_END()
