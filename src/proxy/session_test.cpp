// Tests of the request path over sockets: a caller, the caller session of the entry process and scripted upstreams.

#include <boost/test/unit_test.hpp>

#include "entry_fixture.hpp"
#include "test_pipe.hpp"

namespace trefoilstile::proxy
{

using namespace testing;

BOOST_AUTO_TEST_SUITE(Session)

// Guards against the loss of an upstream's status, header fields or body on the way to the caller.
BOOST_AUTO_TEST_CASE(upstreamResponseIsForwarded)
{
    EntryFixture entry([](const std::string &received) {
        return ScriptedReply{signedResponse(idOf(received), "hello")};
    });
    const std::string response = entry.send(request("/reads/1", "r1"), "hello");
    BOOST_TEST(startsWith(response, "HTTP/1.1 200 OK\r\n"));
    BOOST_TEST(response.find("Trefoilstile-Signature: s\r\n") != std::string::npos);
}

// Guards against a truncated response that reaches the caller as if it were complete, and against a failure of a request that may
// be retried. The first response is truncated when the upstream closes the connection within the body.
BOOST_AUTO_TEST_CASE(truncatedResponseOfIdempotentRequestIsRetried)
{
    int count = 0;
    EntryFixture entry(
        [&count](const std::string &received) {
            std::string complete = signedResponse(idOf(received), "hello");
            return ++count == 1 ? ScriptedReply{complete.substr(0, complete.size() - 2), true} : ScriptedReply{complete};
        },
        2);
    BOOST_TEST(startsWith(entry.send(request("/reads/1", "r1"), "hello"), "HTTP/1.1 200"));
    BOOST_TEST(entry.requestsAtUpstreams() == 2);
}

// Guards against a second execution of a request that is not idempotent, and against a response that says that it did not run
// without proof. The upstream closes the connection within the response head.
BOOST_AUTO_TEST_CASE(truncatedResponseOfNonIdempotentRequestIsNotRetried)
{
    EntryFixture entry(
        [](const std::string &) {
            return ScriptedReply{"HTTP/1.1 200 OK\r\n", true};
        },
        2);
    BOOST_TEST(startsWith(entry.send(request("/holds/1", "r1", "POST"), "\r\n\r\n"), "HTTP/1.1 502"));
    BOOST_TEST(entry.requestsAtUpstreams() == 1);
}

// Guards against a request that upstreams reject with proof that it did not run, but that is not retried at another upstream or is
// then not reported to the caller as not run.
BOOST_AUTO_TEST_CASE(provedNotRunIsRetriedAndThenReportedAsNotRun)
{
    EntryFixture entry(
        [](const std::string &received) {
            return ScriptedReply{
                "HTTP/1.1 503 Busy\r\nTrefoilstile-Request-Id: " + idOf(received) + "\r\nTrefoilstile-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"};
        },
        3);
    const std::string response = entry.send(request("/holds/1", "r1", "POST"), "\r\n\r\n");
    BOOST_TEST(startsWith(response, "HTTP/1.1 503"));
    BOOST_TEST(response.find("Retry-After: ") != std::string::npos);
    BOOST_TEST(entry.requestsAtUpstreams() == 2);
}

// Guards against a late response to an earlier request on the connection being forwarded to the caller.
BOOST_AUTO_TEST_CASE(strayResponseIsSkipped)
{
    EntryFixture entry([](const std::string &received) {
        return ScriptedReply{signedResponse("other", "wrong") + signedResponse(idOf(received), "hello")};
    });
    const std::string response = entry.send(request("/reads/1", "r1"), "hello");
    BOOST_TEST(startsWith(response, "HTTP/1.1 200"));
    BOOST_TEST(response.find("wrong") == std::string::npos);
}

// Guards against forwarding a successful response that the upstream did not generate.
BOOST_AUTO_TEST_CASE(unsignedResponseIsNotForwarded)
{
    EntryFixture entry([](const std::string &received) {
        return ScriptedReply{"HTTP/1.1 200 OK\r\nTrefoilstile-Request-Id: " + idOf(received) + "\r\nContent-Length: 2\r\n\r\nno"};
    });
    BOOST_TEST(startsWith(entry.send(request("/holds/1", "r1", "POST"), "\r\n\r\n"), "HTTP/1.1 502"));
}

// Guards against responses in another order than the requests, which happens when a later request is served first, and against
// serving pipelined requests one after the other.
BOOST_AUTO_TEST_CASE(pipelinedRequestsRunTogetherAndAreAnsweredInOrder)
{
    EntryFixture entry([](const std::string &received) {
        const std::string id = idOf(received);
        return ScriptedReply{signedResponse(id, "body-" + id), false, id == "r1" ? 200ms : 0ms};
    });
    const base::TimePoint start = http::now();
    const std::string response = entry.send(request("/reads/1", "r1") + request("/reads/2", "r2") + request("/reads/3", "r3"), "body-r3");
    const auto first = response.find("body-r1");
    const auto second = response.find("body-r2");
    BOOST_TEST(first < second);
    BOOST_TEST(second < response.find("body-r3"));
    BOOST_TEST((http::now() - start < 500ms));
}

// Guards against an interim response to a request that is written into the response to an earlier one, or before it.
BOOST_AUTO_TEST_CASE(interimResponseFollowsEarlierResponses)
{
    EntryFixture entry([](const std::string &received) {
        const std::string id = idOf(received);
        return ScriptedReply{signedResponse(id, "body-" + id), false, id == "r1" ? 200ms : 0ms};
    });
    std::string expecting = request("/holds/1", "r2", "POST");
    expecting.replace(expecting.find("Content-Length: 0"), 17, "Expect: 100-continue\r\nContent-Length: 2");
    const std::string response = entry.send(request("/reads/1", "r1") + expecting, "100 Continue\r\n\r\n");
    const auto first = response.find("body-r1");
    const auto interim = response.find("HTTP/1.1 100 Continue");
    BOOST_TEST(startsWith(response, "HTTP/1.1 200"));
    BOOST_REQUIRE(first != std::string::npos);
    BOOST_REQUIRE(interim != std::string::npos);
    BOOST_TEST(first < interim);
}

// Guards against an upstream that continues to work on a request, and an attempt that stays counted, after the caller has
// disconnected.
BOOST_AUTO_TEST_CASE(callerDisconnectEndsTheAttempt)
{
    EntryFixture entry([](const std::string &received) {
        return ScriptedReply{signedResponse(idOf(received), "late"), false, 600ms};
    });
    boost::asio::co_spawn(
        entry.context,
        [&]() -> boost::asio::awaitable<void> {
            tcp::socket socket(entry.context);
            co_await socket.async_connect(http::parseEndpoint(entry.listener->address()), boost::asio::use_awaitable);
            const std::string bytes = request("/reads/1", "r1");
            co_await boost::asio::async_write(socket, boost::asio::buffer(bytes), boost::asio::use_awaitable);
            boost::asio::steady_timer timer(entry.context, 100ms);
            co_await timer.async_wait(boost::asio::use_awaitable);
            socket.close();
        },
        boost::asio::detached);
    entry.context.run_for(400ms);
    BOOST_TEST(entry.core.requests == 0U);
    BOOST_TEST(entry.core.upstreamTable.ofService("ledger").front()->outstanding == 0U);
}

// Guards against an idempotent request that waits until its deadline for an upstream that has stopped responding (incident
// inc-8930 of thanthri: downloads from crashed upstreams).
BOOST_AUTO_TEST_CASE(silentUpstreamIsHedgedForIdempotentRequests)
{
    int count = 0;
    EntryFixture entry(
        [&count](const std::string &received) {
            return ++count == 1 ? ScriptedReply{"", false, 5s} : ScriptedReply{signedResponse(idOf(received), "hello")};
        },
        2);
    const base::TimePoint start = http::now();
    BOOST_TEST(startsWith(entry.send(request("/reads/1", "r1"), "hello"), "HTTP/1.1 200"));
    BOOST_TEST((http::now() - start >= 300ms));
    BOOST_TEST((http::now() - start < 800ms));
    BOOST_TEST(entry.requestsAtUpstreams() == 2);
}

// Guards against more connections to an upstream than this instance's share. The upstream would reset the excess connections with
// requests on them.
BOOST_AUTO_TEST_CASE(connectionsStayWithinTheShareOfTheInstance)
{
    EntryFixture entry([](const std::string &received) {
        return ScriptedReply{signedResponse(idOf(received), "body-" + idOf(received)), false, 100ms};
    });
    entry.core.members.observe(10, http::now());
    BOOST_TEST(entry.core.connectionLimit("ledger") == 2U);
    std::string requests;
    for (int i = 0; i < 8; ++i) {
        requests += request("/reads/1", "r" + std::to_string(i));
    }
    entry.send(requests, "never");
    BOOST_TEST(entry.requestsAtUpstreams() == 2);
}

// Guards against a request that is held past the timeout of its route because the upstream does not respond.
BOOST_AUTO_TEST_CASE(requestToSilentUpstreamEndsAtTheTimeLimit)
{
    EntryFixture entry([](const std::string &) {
        return ScriptedReply{"", false, 5s};
    });
    const base::TimePoint start = http::now();
    BOOST_TEST(startsWith(entry.send(request("/holds/1", "r1", "POST"), "\r\n\r\n"), "HTTP/1.1 504"));
    BOOST_TEST((http::now() - start < 1s));
}

// Guards against a 404 response for an existing route while no configuration is known yet; callers do not retry after 404.
BOOST_AUTO_TEST_CASE(unknownRouteGets404AndMissingConfigurationGets503)
{
    EntryFixture entry([](const std::string &received) {
        return ScriptedReply{signedResponse(idOf(received), "hello")};
    });
    BOOST_TEST(startsWith(entry.send(request("/other/1", "r1"), "\r\n\r\n"), "HTTP/1.1 404"));
    entry.core.routes.reset();
    BOOST_TEST(startsWith(entry.send(request("/reads/1", "r2"), "\r\n\r\n"), "HTTP/1.1 503"));
}

// Guards against a request that arrives together with the stop signal and is forwarded although its connection is closed (shmr
// trouble-3, seed 698480230882). The stop begins after 0 to 11 steps of the event loop.
BOOST_AUTO_TEST_CASE(requestThatArrivesWithTheStopIsAnswered)
{
    for (int steps = 0; steps < 12; ++steps) {
        EntryFixture entry([](const std::string &received) {
            return ScriptedReply{signedResponse(idOf(received), "hello")};
        });
        tcp::socket socket(entry.context);
        socket.connect(http::parseEndpoint(entry.listener->address()));
        boost::asio::write(socket, boost::asio::buffer(request("/reads/1", "r1")));
        while (entry.core.sessions == 0) {
            entry.context.run_one();
        }
        for (int i = 0; i < steps; ++i) {
            entry.context.poll_one();
        }
        entry.core.stop.begin(http::now(), 6s);
        entry.listener->closeIdleSessions();
        std::string response;
        boost::asio::co_spawn(
            entry.context,
            [&]() -> boost::asio::awaitable<void> {
                response = co_await readUntil(socket, "hello");
                boost::asio::steady_timer timer(entry.context, 50ms); // lets the upstream receive what was sent to it
                co_await timer.async_wait(boost::asio::use_awaitable);
                entry.context.stop();
            },
            boost::asio::detached);
        entry.context.run_for(5s);
        BOOST_TEST_CONTEXT("steps " << steps)
        {
            BOOST_TEST((startsWith(response, "HTTP/1.1 200") || entry.requestsAtUpstreams() == 0));
        }
    }
}

// Guards against a request that arrives while a response that closes the connection is being written, is forwarded to an upstream
// and then cut off (deploy/days/instances.toml on thanthri, seed 289927723926).
BOOST_AUTO_TEST_CASE(requestBehindAClosingResponseIsNotForwarded)
{
    // Larger than a connection with a small receive window accepts, so that the response is still being written when r2 arrives.
    const std::string large(8'000'000, 'x');
    EntryFixture entry([&large](const std::string &received) {
        return ScriptedReply{signedResponse(idOf(received), large)};
    });
    entry.core.stop.begin(http::now(), 6s);
    std::string response;
    boost::asio::co_spawn(
        entry.context,
        [&]() -> boost::asio::awaitable<void> {
            tcp::socket socket(entry.context, tcp::v4());
            socket.set_option(boost::asio::socket_base::receive_buffer_size(65'536));
            co_await socket.async_connect(http::parseEndpoint(entry.listener->address()), boost::asio::use_awaitable);
            for (const char *id : {"r1", "r2"}) {
                const std::string bytes = request("/reads/1", id);
                co_await boost::asio::async_write(socket, boost::asio::buffer(bytes), boost::asio::use_awaitable);
                boost::asio::steady_timer timer(entry.context, 500ms);
                co_await timer.async_wait(boost::asio::use_awaitable);
            }
            response = co_await readUntil(socket, "");
            entry.context.stop();
        },
        boost::asio::detached);
    entry.context.run_for(10s);
    BOOST_TEST(startsWith(response, "HTTP/1.1 200"));
    BOOST_TEST(response.find("Connection: close") != std::string::npos);
    BOOST_TEST(entry.requestsAtUpstreams() == 1);
}

// Guards against large responses that are truncated or stall.
BOOST_AUTO_TEST_CASE(largeResponseIsForwardedWhole)
{
    for (const std::size_t size : {100'000U, 1'000'000U, 8'000'000U}) {
        const std::string large(size, 'x');
        EntryFixture entry([&large](const std::string &received) {
            return ScriptedReply{signedResponse(idOf(received), large + "END")};
        });
        const base::TimePoint start = http::now();
        const std::string response = entry.send(request("/reads/1", "r1"), "END");
        BOOST_TEST_MESSAGE(size << " bytes took " << base::toMilliseconds(http::now() - start) << " ms");
        BOOST_TEST(response.size() > size);
    }
}

// Guards against an idle caller connection that prevents a stopping process from ending.
BOOST_AUTO_TEST_CASE(idleConnectionIsClosedAtTheStop)
{
    EntryFixture entry([](const std::string &received) {
        return ScriptedReply{signedResponse(idOf(received), "hello")};
    });
    bool closed = false;
    boost::asio::co_spawn(
        entry.context,
        [&]() -> boost::asio::awaitable<void> {
            tcp::socket socket(entry.context);
            co_await socket.async_connect(http::parseEndpoint(entry.listener->address()), boost::asio::use_awaitable);
            boost::asio::steady_timer timer(entry.context, 50ms);
            co_await timer.async_wait(boost::asio::use_awaitable);
            entry.core.stop.begin(http::now(), 6s);
            entry.listener->closeIdleSessions();
            co_await readUntil(socket, "");
            closed = true;
            entry.context.stop();
        },
        boost::asio::detached);
    entry.context.run_for(5s);
    BOOST_TEST(closed);
}

// Guards against an upstream that placement avoids without a log event that gives the reason, and against one event per failure.
BOOST_AUTO_TEST_CASE(avoidedUpstreamIsLoggedOnce)
{
    const Pipe pipe;
    EntryFixture entry([](const std::string &) {
        return ScriptedReply{"HTTP/1.1 200 OK\r\n", true};
    });
    EventLogOptions options;
    options.descriptor = pipe.ends[1];
    entry.core.log = EventLog(options);
    for (int i = 0; i < 5; ++i) {
        entry.send(request("/holds/1", "r" + std::to_string(i), "POST"), "\r\n\r\n");
    }
    entry.core.log.flush();
    const std::string log = pipe.read();
    const std::string event = "\"event\":\"upstream_health\",\"upstream\":\"u0\",\"avoided\":true";
    const auto first = log.find(event);
    BOOST_REQUIRE(first != std::string::npos);
    BOOST_TEST(log.find(event, first + 1) == std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace trefoilstile::proxy
