// Planned stop of an instance with work in progress.

#include <algorithm>
#include <csignal>

#include <boost/test/unit_test.hpp>

#include "fleet.hpp"

using namespace process_test;

BOOST_AUTO_TEST_SUITE(PlannedStop)

// Guards against a stop that cuts off a download or an order, that a second signal shortens, or that callers still get
// as an answer to a lookup (P7); and against a second run of an order that the stopped instance completed (P5).
BOOST_AUTO_TEST_CASE(workInProgressEndsInFull)
{
    constexpr std::uint64_t size = 4'000'000;
    Fleet fleet;
    fleet.startInstances(2);
    fleet.apply();
    Instance &stopping = fleet.instance("entry-1");
    Instance &other = fleet.instance("entry-0");
    const std::string key = stopping.keyPrefix() + "slow";
    const std::string body = "bench 7";

    // Both take longer than the 3.2 s for which the instance serves on with this document.
    for (const Standin &upstream : fleet.upstreams) {
        upstream.control("/_mode", {{"slow_body_bytes_per_s", 500'000}});
    }
    HttpCaller downloading(stopping.callers);
    downloading.send(download(size));
    BOOST_REQUIRE(downloading.readSomeBody());
    for (const Standin &upstream : fleet.upstreams) {
        upstream.control("/_mode", {{"slow_body_bytes_per_s", 0}, {"answer_delay_ms", 6000}});
    }
    HttpCaller ordering(stopping.callers);
    ordering.send(order(key, body));
    BOOST_REQUIRE(waitUntil([&] {
        return fleet.executionsOf(key) == 1;
    }));

    stopping.program->signal(SIGTERM);
    BOOST_TEST(waitUntil([&] {
        const auto names = other.lookedUp();
        return names.size() == 1 && names.front() == other.name;
    }));
    BOOST_TEST(stopping.program->running());
    stopping.program->signal(SIGTERM);
    // Until cached lookup responses have expired, callers still come and are served.
    for (const Standin &upstream : fleet.upstreams) {
        upstream.control("/_mode", {{"answer_delay_ms", 0}});
    }

    const HttpResponse ordered = ordering.response();
    BOOST_TEST(ordered.complete);
    BOOST_TEST(ordered.status == 200U);
    const HttpResponse downloaded = downloading.response();
    BOOST_TEST(downloaded.status == 200U);
    BOOST_TEST(downloaded.complete);
    BOOST_TEST((downloaded.body == objectBytes(size)));
    BOOST_TEST(stopping.program->wait().value_or(-1) == 0, stopping.program->log());
    BOOST_TEST(fleet.executionsOf(key) == 1U);

    const HttpResponse repeated = call(other.callers, order(key, body));
    const std::string outcome = repeated.header("trefoilstile-outcome");
    BOOST_TEST((repeated.status == 200U || outcome == "unknown"), repeated.status << ' ' << outcome);
    BOOST_TEST(fleet.executionsOf(key) == 1U);
}

// Guards against a stop that never ends because a caller keeps an idle connection open, and against a process that is
// gone while lookup responses that name it are still cached (P7).
BOOST_AUTO_TEST_CASE(cachedLookupsAreServedDuringTheStop)
{
    Fleet fleet;
    fleet.startInstances(2);
    fleet.apply();
    Instance &stopping = fleet.instance("entry-1");
    HttpCaller idle(stopping.callers);
    stopping.program->signal(SIGTERM);
    BOOST_REQUIRE(waitUntil([&] {
        return fleet.instance("entry-0").stateOf("entry-1") == "leaving";
    }));
    const HttpResponse response = call(stopping.callers, statusCheck());
    BOOST_TEST(response.status == 200U);
    BOOST_TEST(response.header("connection") == "close");
    BOOST_TEST(stopping.program->wait().value_or(-1) == 0, stopping.program->log());
}

BOOST_AUTO_TEST_SUITE_END()
