// Tests of requests to upstreams that leave, ask for a pause, or send without end.

#include <algorithm>

#include <boost/asio/steady_timer.hpp>
#include <boost/test/unit_test.hpp>

#include "entry_fixture.hpp"

namespace trefoilstile::proxy
{

using namespace testing;

BOOST_AUTO_TEST_SUITE(UpstreamFaults)

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

// Guards against a speed that is not read from the load field, and against a load that is lost because the speed is malformed.
BOOST_AUTO_TEST_CASE(speedIsReadFromTheLoadField)
{
    struct Case {
        std::string field;
        bool speedKnown;
    };
    for (const Case &tried :
        std::vector<Case>{{"3,2,8", false}, {"3,2,8,250", true}, {"3,2,8,", false}, {"3,2,8,fast", false}, {"3,2,8,0", false}, {"3,2,8,-5", false}}) {
        EntryFixture entry([&tried](const std::string &received) {
            std::string response = signedResponse(idOf(received), "hello");
            response.insert(response.find("Content-Length"), "Trefoilstile-Load: " + tried.field + "\r\n");
            return ScriptedReply{response};
        });
        entry.send(request("/reads/1", "r1"), "hello");
        const auto upstream = entry.core.upstreamTable.ofService("ledger").front();
        BOOST_TEST_CONTEXT(tried.field)
        {
            BOOST_TEST(upstream->reportedLoad.running == 3U);
            BOOST_TEST(upstream->speed.known() == tried.speedKnown);
            BOOST_TEST((entry.core.upstreamTable.speedFactor(*upstream, http::now()) > 1.5) == tried.speedKnown);
        }
    }
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
        {"empty lines", repeated("\r\n", 1'000'000)},
        {"zero bytes", std::string(1'000'000, '\0')},
        {"head without line ends", "HTTP/1.1 200 " + repeated("x", 1'000'000)},
        {"body of status 000", "HTTP/1.1 000 X\r\n\r\n" + repeated(std::string(10'000, 'x'), 80'000'000)},
        {"earlier responses",
            repeated("HTTP/1.1 200 OK\r\nTrefoilstile-Request-Id: other\r\nContent-Length: 10000\r\n\r\n" + std::string(10'000, 'x'), 20'000'000)},
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
