// Guards the operator port, load polls, and the rules about header fields and query strings.

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include "test_support.hpp"
#include "trefoilstile/http/clock.hpp"
#include "trefoilstile/http/error.hpp"
#include "trefoilstile/http/load_poller.hpp"
#include "trefoilstile/http/message.hpp"
#include "trefoilstile/http/operator_server.hpp"
#include "trefoilstile/http/query.hpp"
#include "trefoilstile/http/request_reader.hpp"

using namespace trefoilstile;
using namespace trefoilstile::http;
using namespace trefoilstile::http::testing;

namespace
{

struct PollerFixture {
    PollerFixture()
        : poller(io.context, options(), [this](engine::LoadReported load) {
            reported.set_value(std::move(load));
        })
    {
    }
    ~PollerFixture()
    {
        io.stop();
    }
    PollerFixture(const PollerFixture &) = delete;
    PollerFixture &operator=(const PollerFixture &) = delete;

    static LoadPollerOptions options()
    {
        LoadPollerOptions options;
        options.period = std::chrono::milliseconds(20);
        options.timeout = std::chrono::seconds(1);
        return options;
    }

    void poll(const FakeUpstream &upstream)
    {
        io.call([&]() {
            poller.setTargets({{"u1", upstream.address()}});
        });
    }

    static std::string reply(const std::string &json)
    {
        return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(json.size()) + "\r\n\r\n" + json;
    }

    std::promise<engine::LoadReported> reported; ///< set by the first report; a second one would throw
    IoThread io;
    LoadPoller poller;
};

const std::string s_load = R"({"incarnation":"00000000000000ab","slots":8,"busy":3,"queued":1,"state":"leaving"})";

} // namespace

BOOST_AUTO_TEST_SUITE(Services)

BOOST_AUTO_TEST_CASE(operatorServerAnswers)
{
    IoThread io;
    std::unique_ptr<OperatorServer> server;
    io.call([&]() {
        server = std::make_unique<OperatorServer>(io.context, OperatorServerOptions{});
        server->handle("/healthz", [](std::string_view) {
            return OperatorResponse{200, "text/plain", "ok"};
        });
        server->handle("/v1/explain", [](std::string_view query) {
            return OperatorResponse{503, "application/json", queryParameter(query, "service").value_or("")};
        });
    });
    Peer peer(server->address());
    peer.write("GET /healthz HTTP/1.1\r\nHost: a\r\n\r\nGET /v1/explain?service=s%31 HTTP/1.1\r\nHost: a\r\n\r\n");
    const auto health = peer.read();
    BOOST_TEST(health.status() == 200);
    BOOST_TEST(health.body == "ok");
    BOOST_TEST(health.has("Content-Type: text/plain"));
    const auto explain = peer.read();
    BOOST_TEST(explain.status() == 503);
    BOOST_TEST(explain.body == "s1");
    peer.write("HEAD /healthz HTTP/1.1\r\nHost: a\r\n\r\n");
    BOOST_TEST(peer.read(true).has("Content-Length: 2"));
    peer.write("GET /other HTTP/1.1\r\nHost: a\r\n\r\n");
    BOOST_TEST(peer.read().status() == 404);
    peer.write("DELETE /healthz HTTP/1.1\r\nHost: a\r\n\r\n");
    BOOST_TEST(peer.read().status() == 405);
    peer.write("POST /healthz HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\n");
    BOOST_TEST(peer.read().status() == 413);
    BOOST_TEST(peer.closedByOther());
    io.stop();
}

BOOST_AUTO_TEST_CASE(refusesToListenAtWrongAddresses)
{
    boost::asio::io_context context;
    const FakeUpstream taken;
    for (const std::string &address : {std::string("127.0.0.1"), std::string("127.0.0.1:99999"), std::string("host:1"), taken.address()}) {
        OperatorServerOptions options;
        options.listenAddress = address;
        BOOST_CHECK_THROW(OperatorServer(context, options), http::Error);
    }
}

BOOST_AUTO_TEST_CASE(pollsLoad)
{
    FakeUpstream upstream;
    PollerFixture fixture;
    fixture.poll(upstream);
    Peer served = upstream.accept();
    BOOST_TEST(served.read().head.starts_with("GET /load HTTP/1.1\r\n"));
    served.write(PollerFixture::reply(s_load));
    const auto load = fixture.reported.get_future().get();
    BOOST_TEST(load.upstream == "u1");
    BOOST_TEST(load.incarnation.value == 0xabU);
    BOOST_CHECK(load.state == engine::UpstreamState::Leaving);
    BOOST_TEST(load.slots == 8U);
    BOOST_TEST(load.busy == 3U);
    BOOST_TEST(load.queued == 1U);
    // The next poll uses the same connection.
    served.read();
    BOOST_TEST(!upstream.pending());
}

// Misleading or missing replies are no reports; polling goes on.
BOOST_AUTO_TEST_CASE(reportsNothingWithoutAReply)
{
    FakeUpstream upstream;
    PollerFixture fixture;
    fixture.poll(upstream);
    upstream.accept().close();
    for (const std::string &reply : {std::string("nonsense\r\n\r\n"),
             "HTTP/1.1 500 No\r\nContent-Length: " + PollerFixture::reply(s_load).substr(33),
             PollerFixture::reply("{}"),
             PollerFixture::reply("[1"),
             PollerFixture::reply(R"({"incarnation":"00000000000000ab","slots":-8,"busy":3,"queued":1,"state":"live"})"),
             PollerFixture::reply(R"({"incarnation":"00000000000000ab","slots":8589934592,"busy":3,"queued":1,"state":"live"})"),
             PollerFixture::reply(R"({"incarnation":"ab","slots":8,"busy":3,"queued":1,"state":"live"})"),
             PollerFixture::reply(R"({"incarnation":"00000000000000ab","slots":8,"busy":3,"queued":1,"state":"fine"})"),
             PollerFixture::reply(s_load).substr(0, 60)}) {
        Peer served = upstream.accept();
        served.read();
        served.write(reply);
        served.close();
    }
    // One that never answers is given up, and another connection is tried.
    Peer silent = upstream.accept();
    silent.read();
    BOOST_TEST(silent.closedByOther());
    Peer served = upstream.accept();
    served.read();
    served.write(PollerFixture::reply(s_load));
    BOOST_TEST(fixture.reported.get_future().get().slots == 8U);
    // Targets that are taken away are not polled any more.
    fixture.io.call([&]() {
        fixture.poller.setTargets({});
    });
    served.read();
    BOOST_TEST(served.closedByOther());
}

RC_BOOST_PROP(queryRoundTrips, (const std::string &value))
{
    std::string encoded;
    for (const char character : value) {
        static constexpr char digits[] = "0123456789abcdef";
        const auto byte = static_cast<unsigned char>(character);
        encoded += {'%', digits[byte / 16], digits[byte % 16]};
    }
    RC_ASSERT(queryParameter("x=1&v=" + encoded + "&v=2", "v") == value);
}

BOOST_AUTO_TEST_CASE(readsQueries)
{
    BOOST_CHECK(!queryParameter("", "a"));
    BOOST_CHECK(!queryParameter("ab=1&b", "a"));
    BOOST_CHECK(!queryParameter("a=%4", "a"));
    BOOST_CHECK(!queryParameter("a=%zz", "a"));
    BOOST_CHECK(queryParameter("a=1+2&a=3", "a") == "1 2");
    BOOST_CHECK(queryParameter("b&a", "b") == "");
}

BOOST_AUTO_TEST_CASE(readsHostsAndRanges)
{
    BOOST_CHECK(hostWithoutPort("A.b:80") == "a.b");
    BOOST_CHECK(hostWithoutPort("[::1]:80") == "[::1]");
    for (const char *text : {"", ":80", "a:b", "[::1", "a b", "a,b", "a/b", "u@a"}) {
        BOOST_CHECK_MESSAGE(!hostWithoutPort(text), text);
    }
    const auto range = parseContentRange("bytes 4-9/10");
    BOOST_REQUIRE(range);
    BOOST_TEST(range->first == 4U);
    BOOST_TEST(range->last == 9U);
    BOOST_TEST(range->total == 10U);
    for (const char *text : {"", "bytes 4-9/*", "bytes */10", "bytes 9-4/10", "bytes 4-10/10", "bytes 4-9", "items 4-9/10", "bytes +4-9/10"}) {
        BOOST_CHECK_MESSAGE(!parseContentRange(text), text);
    }
}

BOOST_AUTO_TEST_CASE(clockRuns)
{
    const auto first = now();
    BOOST_CHECK(now() >= first);
    BOOST_CHECK(first > base::TimePoint());
}

// Guards against a pause of a nonsensical length that an upstream asks for: it would be taken for an overload for hours, or overflow.
BOOST_AUTO_TEST_CASE(retryAfterIsReadInSeconds)
{
    BOOST_TEST((parseRetryAfter("2") == base::Duration(std::chrono::seconds(2))));
    BOOST_TEST((parseRetryAfter(" 0.25 ") == base::Duration(std::chrono::milliseconds(250))));
    BOOST_TEST((parseRetryAfter("0") == base::Duration::zero()));
    BOOST_TEST((parseRetryAfter("99999999999999999999999999") == base::Duration(std::chrono::seconds(10'000'000))));
    for (const char *text : {"", " ", "-1", "+1", "1e3", "inf", "nan", "1.", ".5", "1.5.2", "1,5", "0x10", "Wed, 21 Oct 2026 07:28:00 GMT", "soon"}) {
        BOOST_TEST(!parseRetryAfter(text).has_value(), text);
    }
}

// Guards against bodies that grow without end and together leave no memory for others.
BOOST_AUTO_TEST_CASE(fairBudgetLeavesAPartFree)
{
    const auto budget = std::make_shared<BodyBudget>();
    budget->limit = 1'200;
    budget->fair = true;
    std::vector<BodyShare> shares;
    for (int i = 0; i < 5; ++i) {
        shares.emplace_back(budget);
    }
    bool grown = true;
    for (std::uint64_t bytes = 10; grown; bytes += 10) {
        grown = false;
        for (BodyShare &share : shares) {
            grown = share.growTo(bytes) || grown;
        }
    }
    BOOST_TEST(budget->held >= 990U);
    BOOST_TEST(budget->held <= 1'000U); // five parts of six
    BodyShare small(budget);
    BOOST_TEST(small.growTo(50));
    shares.clear();
    BodyShare alone(budget);
    BOOST_TEST(alone.growTo(500));
}

BOOST_AUTO_TEST_SUITE_END()
