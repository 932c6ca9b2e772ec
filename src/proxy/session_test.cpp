// Tests of the request path over sockets: a caller, the entry process's session and upstreams that follow a script.

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
#include "trefoilstile/proxy/entry_servers.hpp"

namespace trefoilstile::proxy
{

namespace
{

using namespace std::chrono_literals;
using boost::asio::ip::tcp;

/// Reads until the text has the given end or the peer closes.
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

std::string idOf(const std::string &request)
{
    const auto at = request.find("Trefoilstile-Request-Id: ");
    return at == std::string::npos ? std::string() : request.substr(at + 25, request.find('\r', at) - at - 25);
}

std::string genuine(const std::string &id, const std::string &body, const std::string &status = "200 OK")
{
    return "HTTP/1.1 " + status + "\r\nTrefoilstile-Request-Id: " + id + "\r\nTrefoilstile-Signature: s\r\nContent-Length: " + std::to_string(body.size())
        + "\r\n\r\n" + body;
}

/// What a scripted upstream does with a request: the bytes to respond with, and whether it closes the connection then.
struct Reaction {
    std::string bytes;
    bool close = false;
    std::chrono::milliseconds delay{};
};

/// Accepts connections and reacts to each request by a function.
class ScriptedUpstream
{
public:
    using Script = std::function<Reaction(const std::string &request)>;

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

    int requests = 0;
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
            const Reaction reaction = m_script(request);
            boost::asio::steady_timer timer(m_acceptor.get_executor(), reaction.delay);
            co_await timer.async_wait(boost::asio::use_awaitable);
            boost::system::error_code ignored;
            co_await boost::asio::async_write(*socket, boost::asio::buffer(reaction.bytes), boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
            if (reaction.close) {
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

/// An entry process with one service whose upstreams follow a script.
struct World {
    explicit World(ScriptedUpstream::Script script, int upstreamCount = 1)
        : core(context, testSettings(), HeaderNames(), 1)
    {
        core.members.observe(1, http::now());
        core.book.setSourceAvailable(true, http::now() - 60s);
        for (int i = 0; i < upstreamCount; ++i) {
            upstreams.push_back(std::make_unique<ScriptedUpstream>(context, script));
            ingress::UpstreamReport report;
            report.id = "u" + std::to_string(i);
            report.service = "ledger";
            report.address = upstreams.back()->address();
            report.failureDomain = "east";
            report.slots = 8;
            core.book.report(report, http::now());
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

    /// Sends bytes on a connection and gives what comes back until `end`, or until the connection ends.
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
        context.run_for(10s); // far above the time limit of the routes
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

BOOST_AUTO_TEST_CASE(responseOfTheUpstreamIsPassedOn)
{
    World world([](const std::string &received) {
        return Reaction{genuine(idOf(received), "hello")};
    });
    const std::string response = world.send(request("/reads/1", "r1"), "hello");
    BOOST_TEST(startsWith(response, "HTTP/1.1 200 OK\r\n"));
    BOOST_TEST(response.find("Trefoilstile-Signature: s\r\n") != std::string::npos);
}

// Guards against a cut response reaching the caller as if it were whole, and against giving up what may be repeated.
BOOST_AUTO_TEST_CASE(cutResponseOfAnIdempotentRequestIsReplaced)
{
    int count = 0;
    World world(
        [&count](const std::string &received) {
            std::string whole = genuine(idOf(received), "hello");
            return ++count == 1 ? Reaction{whole.substr(0, whole.size() - 2), true} : Reaction{whole};
        },
        2);
    BOOST_TEST(startsWith(world.send(request("/reads/1", "r1"), "hello"), "HTTP/1.1 200"));
    BOOST_TEST(world.requestsAtUpstreams() == 2);
}

// Guards against a second run of a request that may run only once, and against calling it not run without proof.
BOOST_AUTO_TEST_CASE(cutResponseOfARequestThatRunsOnceIsAFailure)
{
    World world(
        [](const std::string &) {
            return Reaction{"HTTP/1.1 200 OK\r\n", true};
        },
        2);
    BOOST_TEST(startsWith(world.send(request("/holds/1", "r1", "POST"), "\r\n\r\n"), "HTTP/1.1 502"));
    BOOST_TEST(world.requestsAtUpstreams() == 1);
}

// Guards against a proved rejection being lost: the request is sent elsewhere, and then called not run.
BOOST_AUTO_TEST_CASE(provedNotRunIsRetriedAndThenToldAsSuch)
{
    World world(
        [](const std::string &received) {
            return Reaction{"HTTP/1.1 503 Busy\r\nTrefoilstile-Request-Id: " + idOf(received) + "\r\nTrefoilstile-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"};
        },
        3);
    const std::string response = world.send(request("/holds/1", "r1", "POST"), "\r\n\r\n");
    BOOST_TEST(startsWith(response, "HTTP/1.1 503"));
    BOOST_TEST(response.find("Retry-After: ") != std::string::npos);
    BOOST_TEST(world.requestsAtUpstreams() == 2);
}

// Guards against a late response to another request being taken for the answer.
BOOST_AUTO_TEST_CASE(strayResponseIsPassedOver)
{
    World world([](const std::string &received) {
        return Reaction{genuine("other", "wrong") + genuine(idOf(received), "hello")};
    });
    const std::string response = world.send(request("/reads/1", "r1"), "hello");
    BOOST_TEST(startsWith(response, "HTTP/1.1 200"));
    BOOST_TEST(response.find("wrong") == std::string::npos);
}

// Guards against a success that is not the upstream's.
BOOST_AUTO_TEST_CASE(responseWithoutSignatureIsNotPassedOn)
{
    World world([](const std::string &received) {
        return Reaction{"HTTP/1.1 200 OK\r\nTrefoilstile-Request-Id: " + idOf(received) + "\r\nContent-Length: 2\r\n\r\nno"};
    });
    BOOST_TEST(startsWith(world.send(request("/holds/1", "r1", "POST"), "\r\n\r\n"), "HTTP/1.1 502"));
}

// Guards against responses in another order than the requests, and against serving pipelined requests one by one.
BOOST_AUTO_TEST_CASE(pipelinedRequestsRunTogetherAndAreAnsweredInOrder)
{
    World world([](const std::string &received) {
        const std::string id = idOf(received);
        return Reaction{genuine(id, "body-" + id), false, id == "r1" ? 200ms : 0ms};
    });
    const base::TimePoint start = http::now();
    const std::string response = world.send(request("/reads/1", "r1") + request("/reads/2", "r2") + request("/reads/3", "r3"), "body-r3");
    const auto first = response.find("body-r1");
    const auto second = response.find("body-r2");
    BOOST_TEST(first < second);
    BOOST_TEST(second < response.find("body-r3"));
    BOOST_TEST((http::now() - start < 500ms));
}

// Guards against an upstream that goes on working for a caller that has gone.
BOOST_AUTO_TEST_CASE(goneCallerEndsTheAttempt)
{
    World world([](const std::string &received) {
        return Reaction{genuine(idOf(received), "late"), false, 600ms};
    });
    boost::asio::co_spawn(
        world.context,
        [&]() -> boost::asio::awaitable<void> {
            tcp::socket socket(world.context);
            co_await socket.async_connect(http::parseEndpoint(world.listener->address()), boost::asio::use_awaitable);
            const std::string bytes = request("/reads/1", "r1");
            co_await boost::asio::async_write(socket, boost::asio::buffer(bytes), boost::asio::use_awaitable);
            boost::asio::steady_timer timer(world.context, 100ms);
            co_await timer.async_wait(boost::asio::use_awaitable);
            socket.close();
        },
        boost::asio::detached);
    world.context.run_for(400ms);
    BOOST_TEST(world.core.requests == 0U);
    BOOST_TEST(world.core.book.ofService("ledger").front()->outstanding == 0U);
}

// Guards against an idempotent request that waits for an upstream that has fallen silent until its time is up (incident
// inc-8930 of thanthri: downloads at crashed upstreams).
BOOST_AUTO_TEST_CASE(silentUpstreamIsHedgedForIdempotentRequests)
{
    int count = 0;
    World world(
        [&count](const std::string &received) {
            return ++count == 1 ? Reaction{"", false, 5s} : Reaction{genuine(idOf(received), "hello")};
        },
        2);
    const base::TimePoint start = http::now();
    BOOST_TEST(startsWith(world.send(request("/reads/1", "r1"), "hello"), "HTTP/1.1 200"));
    BOOST_TEST((http::now() - start >= 300ms));
    BOOST_TEST((http::now() - start < 800ms));
    BOOST_TEST(world.requestsAtUpstreams() == 2);
}

// Guards against more connections than the part of this instance, which the upstream would reset with requests on them.
BOOST_AUTO_TEST_CASE(connectionsStayWithinThePartOfTheInstance)
{
    World world([](const std::string &received) {
        return Reaction{genuine(idOf(received), "body-" + idOf(received)), false, 100ms};
    });
    world.core.members.observe(10, http::now());
    BOOST_TEST(world.core.connectionLimit("ledger") == 2U);
    std::string requests;
    for (int i = 0; i < 8; ++i) {
        requests += request("/reads/1", "r" + std::to_string(i));
    }
    world.send(requests, "never");
    BOOST_TEST(world.requestsAtUpstreams() == 2);
}

// Guards against a request held past the time of its route by a silent upstream.
BOOST_AUTO_TEST_CASE(silentUpstreamEndsAtTheTimeLimit)
{
    World world([](const std::string &) {
        return Reaction{"", false, 5s};
    });
    const base::TimePoint start = http::now();
    BOOST_TEST(startsWith(world.send(request("/holds/1", "r1", "POST"), "\r\n\r\n"), "HTTP/1.1 504"));
    BOOST_TEST((http::now() - start < 1s));
}

// Guards against 404 for a route that exists while nothing is known yet; 404 is never asked again.
BOOST_AUTO_TEST_CASE(unknownRouteAndMissingConfiguration)
{
    World world([](const std::string &received) {
        return Reaction{genuine(idOf(received), "hello")};
    });
    BOOST_TEST(startsWith(world.send(request("/other/1", "r1"), "\r\n\r\n"), "HTTP/1.1 404"));
    world.core.routes.reset();
    BOOST_TEST(startsWith(world.send(request("/reads/1", "r2"), "\r\n\r\n"), "HTTP/1.1 503"));
}

// Guards against a request that came together with the signal to stop being passed on and its connection being closed
// (shmr trouble-3, seed 698480230882). The stop comes after each number of steps of the event loop in turn.
BOOST_AUTO_TEST_CASE(requestThatArrivesWithTheStopIsAnswered)
{
    for (int steps = 0; steps < 12; ++steps) {
        World world([](const std::string &received) {
            return Reaction{genuine(idOf(received), "hello")};
        });
        tcp::socket socket(world.context);
        socket.connect(http::parseEndpoint(world.listener->address()));
        boost::asio::write(socket, boost::asio::buffer(request("/reads/1", "r1")));
        while (world.core.sessions == 0) {
            world.context.run_one();
        }
        for (int i = 0; i < steps; ++i) {
            world.context.poll_one();
        }
        world.core.stop.begin(http::now(), 6s);
        world.listener->windDown();
        std::string response;
        boost::asio::co_spawn(
            world.context,
            [&]() -> boost::asio::awaitable<void> {
                response = co_await readUntil(socket, "hello");
                boost::asio::steady_timer timer(world.context, 50ms); // for the upstream to receive what was sent to it
                co_await timer.async_wait(boost::asio::use_awaitable);
                world.context.stop();
            },
            boost::asio::detached);
        world.context.run_for(5s);
        BOOST_TEST_CONTEXT("steps " << steps)
        {
            BOOST_TEST((startsWith(response, "HTTP/1.1 200") || world.requestsAtUpstreams() == 0));
        }
    }
}

// Guards against a request being passed on although it crossed a response that closes the connection, and then being cut
// off (deploy/days/instances.toml on thanthri, seed 289927723926).
BOOST_AUTO_TEST_CASE(requestBehindAClosingResponseIsNotPassedOn)
{
    // Larger than what a connection with a small window takes, so that the response is still being written.
    const std::string large(8'000'000, 'x');
    World world([&large](const std::string &received) {
        return Reaction{genuine(idOf(received), large)};
    });
    world.core.stop.begin(http::now(), 6s);
    std::string response;
    boost::asio::co_spawn(
        world.context,
        [&]() -> boost::asio::awaitable<void> {
            tcp::socket socket(world.context, tcp::v4());
            socket.set_option(boost::asio::socket_base::receive_buffer_size(65'536));
            co_await socket.async_connect(http::parseEndpoint(world.listener->address()), boost::asio::use_awaitable);
            for (const char *id : {"r1", "r2"}) {
                const std::string bytes = request("/reads/1", id);
                co_await boost::asio::async_write(socket, boost::asio::buffer(bytes), boost::asio::use_awaitable);
                boost::asio::steady_timer timer(world.context, 500ms);
                co_await timer.async_wait(boost::asio::use_awaitable);
            }
            response = co_await readUntil(socket, "");
            world.context.stop();
        },
        boost::asio::detached);
    world.context.run_for(10s);
    BOOST_TEST(startsWith(response, "HTTP/1.1 200"));
    BOOST_TEST(response.find("Connection: close") != std::string::npos);
    BOOST_TEST(world.requestsAtUpstreams() == 1);
}

// Guards against large responses that are cut or held up.
BOOST_AUTO_TEST_CASE(largeResponseIsPassedOn)
{
    for (const std::size_t size : {100'000U, 1'000'000U, 8'000'000U}) {
        const std::string large(size, 'x');
        World world([&large](const std::string &received) {
            return Reaction{genuine(idOf(received), large + "END")};
        });
        const base::TimePoint start = http::now();
        const std::string response = world.send(request("/reads/1", "r1"), "END");
        BOOST_TEST_MESSAGE(size << " bytes took " << base::toMilliseconds(http::now() - start) << " ms");
        BOOST_TEST(response.size() > size);
    }
}

// Guards against an idle connection that keeps a stopping process alive.
BOOST_AUTO_TEST_CASE(idleConnectionIsClosedAtTheStop)
{
    World world([](const std::string &received) {
        return Reaction{genuine(idOf(received), "hello")};
    });
    bool closed = false;
    boost::asio::co_spawn(
        world.context,
        [&]() -> boost::asio::awaitable<void> {
            tcp::socket socket(world.context);
            co_await socket.async_connect(http::parseEndpoint(world.listener->address()), boost::asio::use_awaitable);
            boost::asio::steady_timer timer(world.context, 50ms);
            co_await timer.async_wait(boost::asio::use_awaitable);
            world.core.stop.begin(http::now(), 6s);
            world.listener->windDown();
            co_await readUntil(socket, "");
            closed = true;
            world.context.stop();
        },
        boost::asio::detached);
    world.context.run_for(5s);
    BOOST_TEST(closed);
}

// Guards against an upstream that is left out without a line that tells why, and against a line for each of its failures.
BOOST_AUTO_TEST_CASE(avoidedUpstreamIsLoggedOnce)
{
    const Pipe pipe;
    World world([](const std::string &) {
        return Reaction{"HTTP/1.1 200 OK\r\n", true};
    });
    EventLogOptions options;
    options.descriptor = pipe.ends[1];
    world.core.log = EventLog(options);
    for (int i = 0; i < 5; ++i) {
        world.send(request("/holds/1", "r" + std::to_string(i), "POST"), "\r\n\r\n");
    }
    world.core.log.flush();
    const std::string log = pipe.read();
    const std::string event = "\"event\":\"upstream_health\",\"upstream\":\"u0\",\"avoided\":true";
    const auto first = log.find(event);
    BOOST_REQUIRE(first != std::string::npos);
    BOOST_TEST(log.find(event, first + 1) == std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace trefoilstile::proxy
