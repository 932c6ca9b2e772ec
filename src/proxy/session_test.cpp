// Tests of the request path over sockets: a caller, the caller session of the entry process and scripted upstreams.

#include <algorithm>
#include <array>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/connect.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include "test_pipe.hpp"
#include "trefoilstile/http/clock.hpp"
#include "trefoilstile/proxy/caller_listener.hpp"

namespace trefoilstile::proxy
{

namespace
{

using namespace std::chrono_literals;
using boost::asio::ip::tcp;

/// Reads until the input contains `end` or the peer closes the connection. An empty `end` reads until the close.
boost::asio::awaitable<std::string> readUntil(tcp::socket &socket, std::string end)
{
    std::string text;
    boost::system::error_code error;
    std::array<char, 4096> chunk{};
    while (!error && (end.empty() || text.find(end) == std::string::npos)) {
        const std::size_t count = co_await socket.async_read_some(boost::asio::buffer(chunk), boost::asio::redirect_error(boost::asio::use_awaitable, error));
        text.append(chunk.data(), count);
    }
    co_return text;
}

/// Value of the request id field of a request head.
std::string idOf(const std::string &request)
{
    const auto at = request.find("Trefoilstile-Request-Id: ");
    return at == std::string::npos ? std::string() : request.substr(at + 25, request.find('\r', at) - at - 25);
}

/// A complete response with the header fields that prove that an upstream generated it.
std::string signedResponse(const std::string &id, const std::string &body, const std::string &status = "200 OK")
{
    return "HTTP/1.1 " + status + "\r\nTrefoilstile-Request-Id: " + id + "\r\nTrefoilstile-Signature: s\r\nContent-Length: " + std::to_string(body.size())
        + "\r\n\r\n" + body;
}

/// Reply of a scripted upstream to a request: after `delay` it writes `bytes`, and then closes the connection if `close` is set.
struct ScriptedReply {
    std::string bytes;
    bool close = false;
    std::chrono::milliseconds delay{};
};

/// Accepts connections and replies to each request with the result of the script.
class ScriptedUpstream
{
public:
    using Script = std::function<ScriptedReply(const std::string &request)>;

    ScriptedUpstream(boost::asio::io_context &context, Script script)
        : m_acceptor(context, tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0))
        , m_script(std::move(script))
    {
        boost::asio::co_spawn(
            context,
            [this]() {
                return accept();
            },
            boost::asio::detached);
    }

    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port());
    }

    int requests = 0; ///< received
    int connectionsEndedByPeer = 0;

private:
    boost::asio::awaitable<void> accept()
    {
        while (true) {
            auto socket = std::make_shared<tcp::socket>(co_await m_acceptor.async_accept(boost::asio::use_awaitable));
            boost::asio::co_spawn(
                m_acceptor.get_executor(),
                [this, socket]() {
                    return serve(socket);
                },
                boost::asio::detached);
        }
    }

    boost::asio::awaitable<void> serve(std::shared_ptr<tcp::socket> socket)
    {
        while (socket->is_open()) {
            const std::string request = co_await readUntil(*socket, "\r\n\r\n");
            if (request.empty()) {
                ++connectionsEndedByPeer;
                break;
            }
            ++requests;
            const ScriptedReply reply = m_script(request);
            boost::asio::steady_timer timer(m_acceptor.get_executor(), reply.delay);
            co_await timer.async_wait(boost::asio::use_awaitable);
            boost::system::error_code ignored;
            co_await boost::asio::async_write(*socket, boost::asio::buffer(reply.bytes), boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
            if (reply.close) {
                socket->close();
            }
        }
    }

    tcp::acceptor m_acceptor;
    Script m_script;
};

Settings testSettings()
{
    Settings settings;
    settings.name = "test";
    settings.region = "one";
    settings.failureDomain = "east";
    settings.regions = {{"east", "one"}};
    settings.callerAddress = "127.0.0.1:0";
    settings.stopGrace = 6s;
    settings.retryWindow = 10s;
    settings.retrySlack = 100;
    return settings;
}

/// Caller listener and shared state of an entry process, with one service of scripted upstreams.
struct EntryFixture {
    explicit EntryFixture(ScriptedUpstream::Script script, int upstreamCount = 1)
        : core(context, testSettings(), HeaderNames(), 1)
    {
        core.members.observe(1, http::now());
        core.upstreamTable.setSourceAvailable(true, http::now() - 60s);
        for (int i = 0; i < upstreamCount; ++i) {
            upstreams.push_back(std::make_unique<ScriptedUpstream>(context, script));
            ingress::UpstreamReport report;
            report.id = "u" + std::to_string(i);
            report.service = "ledger";
            report.address = upstreams.back()->address();
            report.failureDomain = "east";
            report.slots = 8;
            core.upstreamTable.report(report, http::now());
        }
        core.upstreamsKnown = true;
        ingress::Configuration configuration;
        configuration.version = 1;
        ingress::Service service;
        service.name = "ledger";
        service.maximumConnections = 20;
        configuration.services.emplace(service.name, service);
        for (const bool idempotent : {true, false}) {
            ingress::Route route;
            route.name = idempotent ? "reads" : "holds";
            route.host = "a.example";
            route.prefix = idempotent ? "/reads/" : "/holds/";
            route.idempotent = idempotent;
            route.timeout = 1s;
            route.latencyObjective = 300ms;
            route.maximumAttempts = 2;
            route.shares = {{"ledger", 1}};
            configuration.routes.push_back(route);
        }
        core.applyConfiguration(std::move(configuration), http::now());
        listener = std::make_unique<CallerListener>(core);
    }

    /// Sends bytes on a new connection; returns the input up to `end`, or up to the close of the connection.
    std::string send(const std::string &bytes, const std::string &end, std::function<void()> afterSending = {})
    {
        std::string response;
        boost::asio::co_spawn(
            context,
            [&]() -> boost::asio::awaitable<void> {
                tcp::socket socket(context);
                co_await socket.async_connect(http::parseEndpoint(listener->address()), boost::asio::use_awaitable);
                co_await boost::asio::async_write(socket, boost::asio::buffer(bytes), boost::asio::use_awaitable);
                if (afterSending) {
                    afterSending();
                }
                response = co_await readUntil(socket, end);
                context.stop();
            },
            boost::asio::detached);
        context.restart();
        context.run_for(10s); // far above the timeout of the routes
        return response;
    }

    int requestsAtUpstreams() const
    {
        int sum = 0;
        for (const auto &upstream : upstreams) {
            sum += upstream->requests;
        }
        return sum;
    }

    boost::asio::io_context context;
    EntryCore core;
    std::vector<std::unique_ptr<ScriptedUpstream>> upstreams;
    std::unique_ptr<CallerListener> listener;
};

std::string request(const std::string &path, const std::string &id, const std::string &method = "GET")
{
    return method + " " + path + " HTTP/1.1\r\nHost: a.example\r\nTrefoilstile-Request-Id: " + id + "\r\nTrefoilstile-Deadline-Ms: 900\r\n"
        + (method == "POST" ? "Content-Length: 0\r\n" : "") + "\r\n";
}

bool startsWith(const std::string &text, const std::string &start)
{
    return text.rfind(start, 0) == 0;
}

} // namespace

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

// Guards against further requests to an upstream that says in its responses that it leaves, also on a connection that is kept, while
// discovery still reports it as ready.
BOOST_AUTO_TEST_CASE(leavingUpstreamGetsNoFurtherRequests)
{
    EntryFixture entry(
        [](const std::string &received) {
            std::string response = signedResponse(idOf(received), "hello");
            response.insert(response.find("Content-Length"), "Trefoilstile-Leaving: 1\r\n");
            return ScriptedReply{response};
        },
        3);
    for (int i = 0; i < 3; ++i) {
        BOOST_TEST(startsWith(entry.send(request("/reads/1", "r" + std::to_string(i)), "hello"), "HTTP/1.1 200"));
    }
    for (const auto &upstream : entry.upstreams) {
        BOOST_TEST(upstream->requests == 1);
    }
    const std::string refused = entry.send(request("/reads/1", "r4"), "\r\n\r\n");
    BOOST_TEST(startsWith(refused, "HTTP/1.1 503"));
    BOOST_TEST(refused.find("Retry-After: ") != std::string::npos);
    BOOST_TEST(entry.requestsAtUpstreams() == 3);
}

// Guards against a leaving notice that is taken from the response of another upstream at the address.
BOOST_AUTO_TEST_CASE(leavingNoticeOfAnotherUpstreamIsIgnored)
{
    EntryFixture entry([](const std::string &received) {
        return ScriptedReply{
            "HTTP/1.1 421 Misdirected\r\nTrefoilstile-Request-Id: " + idOf(received) + "\r\nTrefoilstile-Leaving: 1\r\nContent-Length: 0\r\n\r\n"};
    });
    entry.send(request("/reads/1", "r1"), "\r\n\r\n");
    BOOST_TEST(entry.core.upstreamTable.usable(*entry.core.upstreamTable.ofService("ledger").front()));
}

// Guards against a request that waits for a connection while the upstream announces that it leaves, and is then sent to it. The first
// response is delayed so that the second request, on a connection of its own, is already placed.
BOOST_AUTO_TEST_CASE(requestThatWaitsForAConnectionIsPlacedAnew)
{
    EntryFixture entry(
        [](const std::string &received) {
            return ScriptedReply{signedResponse(idOf(received), "hello")};
        },
        2);
    const auto upstreams = entry.core.upstreamTable.ofService("ledger");
    bool announced = false;
    // The connection is established in a later step of the event loop than the choice of the upstream.
    const std::string response = entry.send(request("/reads/1", "r1"), "hello", [&]() {
        boost::asio::co_spawn(
            entry.context,
            [&]() -> boost::asio::awaitable<void> {
                while (upstreams[0]->outstanding + upstreams[1]->outstanding == 0) {
                    boost::asio::steady_timer timer(entry.context, 0ms);
                    co_await timer.async_wait(boost::asio::use_awaitable);
                }
                announced = true;
                entry.core.upstreamTable.leavingAnnounced(upstreams[0]->outstanding > 0 ? *upstreams[0] : *upstreams[1], http::now());
            },
            boost::asio::detached);
    });
    BOOST_TEST(announced);
    BOOST_TEST(startsWith(response, "HTTP/1.1 200"));
    for (std::size_t i = 0; i < 2; ++i) {
        if (!entry.core.upstreamTable.usable(*upstreams[i])) {
            BOOST_TEST(entry.upstreams[i]->requests == 0);
        }
    }
}

// Guards against requests to an upstream that has turned one away and asked for a pause, and against a caller that is not told when to
// return while all upstreams pause.
BOOST_AUTO_TEST_CASE(pauseThatAnUpstreamAsksForIsKept)
{
    EntryFixture entry(
        [](const std::string &received) {
            return ScriptedReply{"HTTP/1.1 503 Busy\r\nTrefoilstile-Request-Id: " + idOf(received)
                + "\r\nTrefoilstile-Not-Run: 1\r\nRetry-After: 0.8\r\nContent-Length: 0\r\n\r\n"};
        },
        2);
    BOOST_TEST(startsWith(entry.send(request("/holds/1", "r1", "POST"), "\r\n\r\n"), "HTTP/1.1 503"));
    BOOST_TEST(entry.requestsAtUpstreams() == 2);
    const base::TimePoint start = http::now();
    const std::string refused = entry.send(request("/holds/1", "r2", "POST"), "\r\n\r\n");
    BOOST_TEST(startsWith(refused, "HTTP/1.1 503"));
    BOOST_TEST((http::now() - start < 200ms)); // at once, not at the deadline
    const auto at = refused.find("Retry-After: ");
    BOOST_REQUIRE(at != std::string::npos);
    const double seconds = std::stod(refused.substr(at + 13));
    BOOST_TEST(seconds > 0.2);
    BOOST_TEST(seconds < 1.3); // 0.8 s, jittered by a half
    BOOST_TEST(entry.requestsAtUpstreams() == 2);
    entry.context.restart();
    entry.context.run_for(900ms);
    entry.send(request("/holds/1", "r3", "POST"), "\r\n\r\n");
    BOOST_TEST(entry.requestsAtUpstreams() == 4);
}

// Guards against an upstream that sends without end, in a head, a body, a chunk or the part after the last chunk: the bytes must not
// exhaust the memory, the connection must be closed, and the upstream must count as failing. The upstream stops after 80 MB, far above
// what the instance may hold.
BOOST_AUTO_TEST_CASE(bytesWithoutEndAreGivenUp)
{
    const std::string field = "X-Filler: " + std::string(1'000, 'x') + "\r\n";
    const auto repeated = [](const std::string &part, std::size_t bytes) {
        std::string text;
        while (text.size() < bytes) {
            text += part;
        }
        return text;
    };
    const std::string signedStart = "HTTP/1.1 200 OK\r\nTrefoilstile-Request-Id: r\r\nTrefoilstile-Signature: s\r\n";
    struct Case {
        const char *name;
        std::string bytes;
    };
    const std::vector<Case> cases{{"head", "HTTP/1.1 200 OK\r\n" + repeated(field, 1'000'000)},
        {"interim responses", repeated("HTTP/1.1 100 Continue\r\n\r\n", 1'000'000)},
        {"no protocol", repeated("x", 1'000'000)},
        {"body without length", signedStart + "\r\n" + repeated(std::string(10'000, 'x'), 80'000'000)},
        {"declared body", signedStart + "Content-Length: 80000000\r\n\r\n" + repeated(std::string(10'000, 'x'), 20'000'000)},
        {"chunks", signedStart + "Transfer-Encoding: chunked\r\n\r\n" + repeated("2710\r\n" + std::string(10'000, 'x') + "\r\n", 80'000'000)},
        {"trailer", signedStart + "Transfer-Encoding: chunked\r\n\r\n0\r\n" + repeated(field, 1'000'000)},
        {"chunk extension", signedStart + "Transfer-Encoding: chunked\r\n\r\n1;" + repeated("x", 1'000'000)}};
    for (const Case &tried : cases) {
        EntryFixture entry([&tried](const std::string &) {
            return ScriptedReply{tried.bytes, true};
        });
        const std::string response = entry.send(request("/holds/1", "r", "POST"), "\r\n\r\n");
        BOOST_TEST_CONTEXT(tried.name)
        {
            BOOST_TEST((startsWith(response, "HTTP/1.1 502") || startsWith(response, "HTTP/1.1 504")));
            BOOST_TEST(entry.core.responseBudget->held == 0U);
            const auto upstream = entry.core.upstreamTable.ofService("ledger").front();
            BOOST_TEST(upstream->failures > 0.5);
            BOOST_TEST(upstream->openConnections == 0U);
        }
    }
}

// Guards against endless bodies of several requests at once that take the memory which a small response and a large download need.
BOOST_AUTO_TEST_CASE(endlessBodiesShareTheMemory)
{
    std::string endless = "HTTP/1.1 200 OK\r\nTrefoilstile-Request-Id: e\r\nTrefoilstile-Signature: s\r\n\r\n";
    endless.append(40'000'000, 'x');
    const std::string large(2'000'000, 'x');
    std::uint64_t peak = 0;
    EntryFixture entry(
        [&](const std::string &received) {
            peak = std::max(peak, entry.core.responseBudget->held);
            const std::string id = idOf(received);
            return id == "e" ? ScriptedReply{endless, true} : ScriptedReply{signedResponse(id, large + "END"), false, 300ms};
        },
        2);
    entry.core.responseBudget->limit = 20'000'000;
    for (int i = 0; i < 10; ++i) {
        boost::asio::co_spawn(
            entry.context,
            [&]() -> boost::asio::awaitable<void> {
                tcp::socket socket(entry.context);
                co_await socket.async_connect(http::parseEndpoint(entry.listener->address()), boost::asio::use_awaitable);
                const std::string bytes = request("/holds/1", "e", "POST");
                co_await boost::asio::async_write(socket, boost::asio::buffer(bytes), boost::asio::use_awaitable);
                co_await readUntil(socket, "");
            },
            boost::asio::detached);
    }
    boost::asio::steady_timer sampling(entry.context);
    std::function<void()> sample = [&]() {
        peak = std::max(peak, entry.core.responseBudget->held);
        sampling.expires_after(1ms);
        sampling.async_wait([&](const boost::system::error_code &error) {
            if (!error) {
                sample();
            }
        });
    };
    sample();
    const std::string response = entry.send(request("/reads/2", "r2"), "END");
    BOOST_TEST(startsWith(response, "HTTP/1.1 200"));
    BOOST_TEST(peak > 5'000'000U);
    BOOST_TEST(peak <= 20'000'000U);
    BOOST_TEST_MESSAGE("peak of the memory for responses: " << peak << " bytes");
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace trefoilstile::proxy
